#ifndef CICADALUG_ENTRY_WORKER_CALLS_HPP
#define CICADALUG_ENTRY_WORKER_CALLS_HPP

#include <cicadalug/adapter/worker_client.hpp>
#include <cicadalug/scheduler/worker_call.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>
#include <unordered_map>

namespace cicadalug {

/**
 * @brief Sends calls to workers and keeps their connections.
 * @note Thread safety: all functions on the executor given to the constructor.
 */
class worker_calls {
public:
    /**
     * @brief Constructs an object without connections.
     * @param executor Runs the calls.
     * @param max_connections Maximum number of connections to all workers together. Beyond it, those of the worker that
     * was called least recently are closed.
     */
    worker_calls(asio::any_io_executor executor, std::size_t max_connections);

    /**
     * @brief Carries out a call.
     * @pre The object outlives the call.
     * @param call The call; its timeout is ignored.
     * @param condition Deadline of the call, and a check before its request is written.
     * @return Its result: invalid if the call states no address, unknown if no response arrived in its time, withdrawn
     * if the check did not allow the request.
     */
    [[nodiscard]] auto perform(worker_call call, send_condition condition) -> asio::awaitable<worker_call_result>;

    /** @brief Closes the connections of workers that have not been called for a while. */
    auto drop_idle_workers() -> void;

    /** @brief Returns the number of workers to which connections may be open. */
    [[nodiscard]] auto worker_count() const noexcept -> std::size_t { return m_workers.size(); }

private:
    struct known_worker {
        std::shared_ptr<worker_client> m_client;
        std::string m_address;
        time_point m_last_call{};
    };

    [[nodiscard]] auto client_of(const worker_call& call) -> std::shared_ptr<worker_client>;
    auto drop_least_recent() -> void;

    asio::any_io_executor m_executor;
    std::size_t m_max_workers;
    std::unordered_map<worker_id, known_worker> m_workers;
};

} // namespace cicadalug

#endif
