#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/decider.hpp>
#include <cicadalug/entry/decider_times.hpp>
#include <cicadalug/entry/read_clocks.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

using internal::tick_interval;
using internal::to_ms;

/** @brief A renewal of a worker's lease waits this long for an end of a run. */
constexpr milliseconds renewal_wait{900};

/** @brief Time beyond the asked wait after which a renewal is taken for lost. */
constexpr milliseconds renewal_slack{500};

/** @brief Shortest time between two renewals of one worker: ends that come close together share a call. */
constexpr milliseconds renewal_gap{60};

/** @brief Pause after a renewal without an answer. */
constexpr milliseconds renewal_pause{200};

/** @brief Changes within this time are decided in one pass. */
constexpr milliseconds pass_delay{2};

/** @brief At most this many lines about runs are logged in this time; the others are counted. */
constexpr milliseconds log_window{1'000};
constexpr std::int64_t log_window_lines{60};

/** @brief Questions for permits under way at the same time: the service answers one after the other, and the second
 * one is there when the first is answered. */
constexpr int permit_asker_limit{2};

/** @brief Time for an answer of the permit service, which takes some time for each worker that is named. */
constexpr milliseconds permit_timeout{1'500};

/** @brief Time for an order to a worker. */
constexpr milliseconds order_timeout{800};

} // namespace

auto decider::client_of(const worker_index index) -> std::shared_ptr<worker_client>
{
    const auto& entry = m_state.m_workers[static_cast<std::size_t>(index)].m_entry;
    auto& client = m_clients[static_cast<std::size_t>(index)];
    findings found;
    const auto endpoint = parse_endpoint(entry.m_address, entry.m_id.str(), found);
    if (client == nullptr || client->endpoint() != endpoint) {
        client = std::make_shared<worker_client>(m_executor, entry.m_id, endpoint);
    }
    return client;
}

auto decider::keep_worker(const std::shared_ptr<decider> self, const worker_index index) -> asio::awaitable<void>
{
    const auto position = static_cast<std::size_t>(index);
    while (self->m_active) {
        if (!m_state.m_workers[position].m_registered && m_state.m_workers[position].m_runs.empty()) {
            co_await sleep_for(m_executor, tick_interval);
            continue;
        }
        const auto client = client_of(index);
        const auto& worker = m_state.m_workers[position];
        lease_renewal renewal;
        renewal.m_token = m_term.m_token;
        renewal.m_acknowledged_end = worker.m_acknowledged_end;
        if (worker.m_has_reported) {
            note_renewal();
            renewal.m_until_ms = grant_lease(m_state, index, monotonic_now());
            renewal.m_wait = renewal_wait;
        }
        const auto sent = monotonic_now();
        const auto answer = co_await client->renew(renewal, renewal.m_wait + renewal_slack);
        if (!m_active) {
            co_return;
        }
        if (answer.m_result == command_result::accepted) {
            const bool first = !m_state.m_workers[position].m_has_reported;
            apply_report(m_state, index, answer.m_report, sent, monotonic_now());
            schedule_pass();
            m_progress_wanted.notify();
            if (!first) {
                co_await sleep_for(m_executor, renewal_gap);
            }
            continue;
        }
        if (answer.m_result == command_result::fenced) {
            m_state.m_deposed = true;
            check_deposed();
            co_return;
        }
        m_state.m_workers[position].m_unresponsive = true;
        co_await sleep_for(m_executor, renewal_pause);
    }
}

auto decider::tick(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active) {
        open_due_occurrences(m_state, read_clocks());
        m_state.m_dispatch_requested = true;
        run_pass();
        for (auto& order : plan_throttling(m_state, m_settings.m_pace, monotonic_now())) {
            asio::co_spawn(m_executor, send_pace(self, std::move(order)), asio::detached);
        }
        co_await sleep_for(m_executor, tick_interval);
    }
}

auto decider::schedule_pass() -> void
{
    if (m_pass_scheduled || !m_loaded) {
        return;
    }
    m_pass_scheduled = true;
    asio::co_spawn(m_executor, run_pass_later(shared_from_this()), asio::detached);
}

auto decider::run_pass_later(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    co_await sleep_for(m_executor, pass_delay);
    self->m_pass_scheduled = false;
    run_pass();
}

auto decider::log_events() -> void
{
    const auto now = monotonic_now();
    if (now - m_log_window > log_window) {
        if (m_log_lines > log_window_lines) {
            LOG(WARNING) << log_line{"run_events_not_logged"}.with("count", m_log_lines - log_window_lines);
        }
        m_log_window = now;
        m_log_lines = 0;
    }
    for (const auto& event : std::exchange(m_state.m_events, {})) {
        if (++m_log_lines > log_window_lines) {
            continue;
        }
        constexpr const char* names[]{"run_failed", "run_lost", "worker_paused"};
        LOG(INFO) << log_line{names[static_cast<std::size_t>(event.m_kind)]}
                         .with("request", event.m_task.m_job)
                         .with("step", event.m_task.m_step)
                         .with("index", event.m_task.m_index)
                         .with("run", event.m_run)
                         .with("worker", m_state.m_workers[static_cast<std::size_t>(event.m_worker)].m_entry.m_id)
                         .with("failures_in_row", event.m_failures);
    }
}

auto decider::note_renewal() -> void
{
    m_state.m_grant_limit = m_renewed() + m_state.m_settings.m_grant_horizon;
    m_state.m_term_guaranteed_until = m_renewed() + m_settings.m_term_lease;
}

auto decider::run_pass() -> void
{
    if (!m_active) {
        return;
    }
    const auto now = monotonic_now();
    note_renewal();
    expire_runs(m_state, now);
    if (m_state.m_dispatch_requested) {
        note_permit_queues();
        dispatch(m_state, now);
    }
    for (auto& request : std::exchange(m_state.m_permit_requests, {})) {
        m_permit_questions.push_back(std::move(request));
        if (m_permit_client != nullptr && m_permit_askers < permit_asker_limit) {
            ++m_permit_askers;
            asio::co_spawn(m_executor, ask_permits(shared_from_this()), asio::detached);
        }
    }
    log_events();
    for (auto& order : std::exchange(m_state.m_starts, {})) {
        asio::co_spawn(m_executor, send_start(shared_from_this(), std::move(order)), asio::detached);
    }
    for (auto& order : std::exchange(m_state.m_stops, {})) {
        asio::co_spawn(m_executor, send_stop(shared_from_this(), std::move(order)), asio::detached);
    }
    if (!m_state.m_dirty.empty()) {
        m_progress_wanted.notify();
    }
}

auto decider::send_start(const std::shared_ptr<decider> self, start_command order) -> asio::awaitable<void>
{
    const auto* job = self->m_active ? find_job(m_state, order.m_task.m_job) : nullptr;
    if (job == nullptr) {
        co_return;
    }
    const auto client = client_of(order.m_worker);
    if (order.m_first_of_job) {
        const auto now = monotonic_now();
        LOG(INFO) << log_line{"job_started"}
                         .with("request", order.m_task.m_job)
                         .with("queue", job->m_record.m_policy.m_queue)
                         .with("waited_ms", to_ms(now - job->m_arrived))
                         .with("left_ms", to_ms(job->m_deadline - now))
                         .with("worker", m_state.m_workers[static_cast<std::size_t>(order.m_worker)].m_entry.m_id);
    }
    run_start start;
    start.m_task = order.m_task;
    start.m_run = order.m_run;
    start.m_text = job->m_record.m_spec.m_text;
    start.m_lease_until_ms = order.m_lease_until_ms;
    start.m_checkpoint = order.m_checkpoint;
    start.m_permit = order.m_permit;

    start.m_token = m_term.m_token;
    const auto result = co_await client->start(std::move(start), order_timeout);
    if (!m_active) {
        co_return;
    }
    apply_start_result(m_state, order, result, monotonic_now());
    check_deposed();
    if (result != command_result::accepted) {
        LOG(INFO) << log_line{"start_not_accepted"}
                         .with("request", order.m_task.m_job)
                         .with("step", order.m_task.m_step)
                         .with("index", order.m_task.m_index)
                         .with("worker", m_state.m_workers[static_cast<std::size_t>(order.m_worker)].m_entry.m_id)
                         .with("result", static_cast<int>(result));
        schedule_pass();
    }
}

auto decider::note_permit_queues() -> void
{
    const auto config = m_settings.m_config();
    if (config == nullptr || config->m_version == m_permit_config) {
        return;
    }
    m_permit_config = config->m_version;
    m_state.m_permit_queues.clear();
    for (const auto& queue : config->m_queues) {
        if (queue.m_permits.m_required) {
            m_state.m_permit_queues.insert(queue.m_policy.m_queue);
        }
    }
    if (!m_state.m_permit_queues.empty() && m_permit_client == nullptr) {
        if (m_settings.m_permits.port() == 0) {
            LOG(ERROR) << log_line{"permit_service_missing"}.with("queues", m_state.m_permit_queues.size());
            return;
        }
        m_permit_client = std::make_unique<permit_client>(m_executor, m_settings.m_permits);
    }
}

auto decider::ask_permits(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active && !m_permit_questions.empty()) {
        const auto request = std::move(m_permit_questions.front());
        m_permit_questions.pop_front();
        std::vector<worker_id> workers;
        for (const auto& [index, born] : request.m_workers) {
            workers.push_back(m_state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id);
        }
        const auto asked = monotonic_now();
        const auto answer = co_await m_permit_client->ask(request.m_step, std::move(workers), permit_timeout);
        if (!m_active) {
            co_return;
        }
        if (!answer) {
            LOG_EVERY_N(WARNING, 10) << log_line{"permits_not_answered"}
                                            .with("request", request.m_step.m_job)
                                            .with("step", request.m_step.m_step)
                                            .with("workers", request.m_workers.size());
        }
        apply_permit_response(m_state, request, answer, asked, monotonic_now());
        schedule_pass();
    }
    --m_permit_askers;
}

auto decider::send_stop(const std::shared_ptr<decider> self, stop_command order) -> asio::awaitable<void>
{
    if (!self->m_active) {
        co_return;
    }
    const auto client = client_of(order.m_worker);
    const auto result = co_await client->stop(order.m_task, order.m_run, m_term.m_token, order_timeout);
    if (m_active) {
        apply_stop_result(m_state, order, result, monotonic_now());
        check_deposed();
    }
}

auto decider::send_pace(const std::shared_ptr<decider> self, throttle_command order) -> asio::awaitable<void>
{
    if (!self->m_active) {
        co_return;
    }
    const auto client = client_of(order.m_worker);
    const auto result =
        co_await client->set_pace(order.m_task, order.m_run, order.m_speed_percent, m_term.m_token, order_timeout);
    if (m_active) {
        apply_throttle_result(m_state, order, result);
        check_deposed();
    }
}

} // namespace cicadalug
