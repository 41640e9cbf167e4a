#ifndef CICADALUG_ENTRY_WORKER_RELAY_HPP
#define CICADALUG_ENTRY_WORKER_RELAY_HPP

#include <cicadalug/async/retry_backoff.hpp>
#include <cicadalug/entry/decider_election.hpp>
#include <cicadalug/entry/signal_event.hpp>
#include <cicadalug/entry/worker_calls.hpp>
#include <cicadalug/http/http_pool.hpp>
#include <cicadalug/telemetry/scheduler_metrics.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace cicadalug {

/** @brief Settings of a relay. */
struct worker_relay_settings {
    entry_vm_id m_self;
    availability_zone_id m_zone;
    /** @brief CPU capacity of this entry VM, in cores. */
    double m_cores{0.0};
    /** @brief Metrics of the entry VM; not null. */
    std::shared_ptr<scheduler_metrics> m_metrics;
};

/**
 * @brief Carries out a call that a decider has handed over.
 * @pre The calls outlive the result.
 * @param calls Sends the call.
 * @param call The call.
 * @param handed_over Earliest time at which the decider can have handed it over. The time of the call begins then,
 * however long the relay is suspended or busy before it writes the request.
 * @param is_link_open Called right before the request of a start is written, which is not sent if it returns false: the
 * decider's term has ended, and a successor may know that the job was cancelled. Not null.
 * @param metrics Metrics of the relay; not null.
 * @return The result: withdrawn if the time of the call was over before anything was done, or if a start was not sent.
 */
[[nodiscard]] auto carry_out_relayed(worker_calls& calls, worker_call call, time_point handed_over,
                                     std::function<bool()> is_link_open, std::shared_ptr<scheduler_metrics> metrics)
    -> asio::awaitable<worker_call_result>;

/**
 * @brief Relay's side: offers this entry VM to the decider, carries out the calls that the decider hands over, and
 * returns their results. It decides nothing and keeps nothing but connections.
 * @note Thread safety: all functions on the executor given to the constructor.
 */
class worker_relay {
public:
    /**
     * @brief Constructs a relay; start() runs it.
     * @param executor Runs the relay.
     * @param settings Settings.
     * @param election Tells the decider; must outlive the relay.
     * @param calls Sends the calls; must outlive the relay.
     */
    worker_relay(asio::any_io_executor executor, worker_relay_settings settings, const decider_election& election,
                 worker_calls& calls);

    /** @brief Starts the offers. @pre Called once; the relay outlives the executor's work. */
    auto start() -> void;

    /** @brief Offers the entry VM no more. Calls under way are completed and their results are returned. */
    auto stop() -> void { m_stopping = true; }

private:
    /** @brief Connection to one decider, in one term. */
    struct link {
        link(const asio::any_io_executor& executor, const tcp_endpoint& endpoint, const store_revision term)
            : m_polls{executor, endpoint}, m_answers{executor, endpoint}, m_term{term}, m_results_event{executor}
        {
        }
        http_pool m_polls;
        http_pool m_answers;
        store_revision m_term;
        std::vector<worker_call_result> m_results;
        signal_event m_results_event;
        bool m_closed{false};
    };

    [[nodiscard]] auto run() -> asio::awaitable<void>;
    [[nodiscard]] auto poll(std::shared_ptr<link> current) -> asio::awaitable<void>;
    /** @param handed_over Earliest time at which the decider can have answered the poll that fetched the call. */
    [[nodiscard]] auto carry_out(std::shared_ptr<link> current, worker_call call, time_point handed_over)
        -> asio::awaitable<void>;
    [[nodiscard]] auto return_results(std::shared_ptr<link> current) -> asio::awaitable<void>;
    [[nodiscard]] auto make_request(const link& current, std::string_view path) const -> http_request;
    [[nodiscard]] auto is_wanted() const -> bool;

    asio::any_io_executor m_executor;
    worker_relay_settings m_settings;
    const decider_election& m_election;
    worker_calls& m_calls;
    retry_backoff m_poll_backoff;
    bool m_stopping{false};
};

} // namespace cicadalug

#endif
