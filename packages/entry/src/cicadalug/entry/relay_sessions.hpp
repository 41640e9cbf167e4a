#ifndef CICADALUG_ENTRY_RELAY_SESSIONS_HPP
#define CICADALUG_ENTRY_RELAY_SESSIONS_HPP

#include <cicadalug/http/http_server.hpp>
#include <cicadalug/scheduler/relays.hpp>
#include <cicadalug/scheduler/worker_call.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadalug {

/** @brief Answer of a decider to offers of relays. */
enum class relay_admission : std::uint8_t {
    /** @brief Not known yet; the offer should be repeated soon. */
    not_ready,
    not_needed,
    open,
};

/**
 * @brief Decider's side of the relays: queues calls for them, hands a batch to each poll, and matches the results.
 *
 * A call whose result does not arrive in its time ends as unknown, whether its relay, the link to it or the worker is
 * the cause.
 * @note Thread safety: all functions on the executor given to the constructor.
 */
class relay_sessions : public std::enable_shared_from_this<relay_sessions> {
public:
    /**
     * @brief Constructs an object without relays.
     * @param executor Runs the sessions.
     * @param token Token of the term. Relays of another term are refused.
     */
    relay_sessions(asio::any_io_executor executor, fencing_token token);

    /** @brief Starts the timeouts of the calls. @pre Called once, on an object owned by a shared_ptr. */
    auto start() -> void;

    /** @brief Ends all polls and all calls. Calls without a result end as unknown. */
    auto stop() -> void;

    /** @brief Sets how offers of relays are answered from now on. Calls under way continue. */
    auto set_admission(relay_admission admission) -> void { m_admission = admission; }

    /** @brief Checks whether a call can be handed to a relay now. */
    [[nodiscard]] auto is_available() const -> bool;

    /**
     * @brief Hands a call to a relay.
     * @pre is_available(), on an object owned by a shared_ptr.
     * @param call The call; its number is set here.
     * @param zone Availability zone of the worker.
     * @return The result.
     */
    [[nodiscard]] auto perform(worker_call call, availability_zone_id zone) -> asio::awaitable<worker_call_result>;

    /** @brief Handles a request of a relay. @return False if the request is none. */
    [[nodiscard]] auto handle(http_exchange& exchange) -> asio::awaitable<bool>;

    /** @brief Returns the relays that get calls, for the log. */
    [[nodiscard]] auto live_relays() const -> std::size_t;

private:
    /** @brief Resumes the coroutine that waits for a result; movable, so that a pending call needs no allocation. */
    using call_handler = asio::async_result<asio::use_awaitable_t<>, void(worker_call_result)>::handler_type;

    struct queued_call {
        worker_call m_call;
        time_point m_deadline{};
    };
    struct session {
        std::vector<queued_call> m_queue;
        std::unique_ptr<asio::steady_timer> m_poll;
        /** @brief Incremented with each poll; an earlier one that still waits then ends without calls. */
        std::uint64_t m_poll_number{0};
    };
    struct pending_call {
        call_handler m_handler;
        std::size_t m_relay{0};
        time_point m_deadline{};
    };
    struct ended_call {
        call_handler m_handler;
        worker_call_result m_result;
    };

    [[nodiscard]] auto handle_poll(http_exchange& exchange, const entry_vm_id& relay) -> asio::awaitable<void>;
    auto apply_results(std::string_view body) -> void;
    auto complete(call_number number, worker_call_result result) -> void;
    auto schedule_flush() -> void;
    /** @brief Ends the calls that silent relays have not fetched. */
    auto end_queues_of_silent_relays(time_point now) -> void;
    [[nodiscard]] auto flush_later(std::shared_ptr<relay_sessions> self) -> asio::awaitable<void>;
    [[nodiscard]] auto expire_calls(std::shared_ptr<relay_sessions> self) -> asio::awaitable<void>;
    [[nodiscard]] auto find_relay(const entry_vm_id& relay) const -> std::size_t;
    [[nodiscard]] auto take_batch(std::size_t relay) -> std::vector<worker_call>;
    /** @brief Hands a call to a relay. @param handler Receives the result. */
    auto enqueue(worker_call call, const availability_zone_id& zone, call_handler handler) -> void;
    /** @brief Resumes the caller of an ended call later, together with those of other calls that end meanwhile. */
    auto resume_later(call_handler handler, worker_call_result result) -> void;
    auto resume_callers() -> void;

    asio::any_io_executor m_executor;
    fencing_token m_token;
    relay_admission m_admission{relay_admission::not_ready};
    bool m_active{true};
    bool m_flush_scheduled{false};
    std::uint64_t m_last_number{0};
    std::vector<relay_state> m_relays;
    /** @brief Sessions by the index of their relay. */
    std::vector<session> m_sessions;
    std::unordered_map<std::uint64_t, pending_call> m_pending;
    /** @brief Ended calls whose callers have not been resumed yet. */
    std::vector<ended_call> m_ended;
};

} // namespace cicadalug

#endif
