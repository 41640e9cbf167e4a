#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/decider.hpp>
#include <cicadalug/entry/decider_times.hpp>
#include <cicadalug/entry/read_clocks.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/end_acknowledgement.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/stale_lease.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

using internal::failure_pause;
using internal::tick_interval;
using internal::to_ms;

/** @brief A worker delays the response to a lease renewal for up to this time, until a run ends. */
constexpr milliseconds renewal_wait{900};

/** @brief The same while there are trials: a worker is closed to other tasks until it has reported the run again, and
 * the renewal in flight when the trial begins delays that report. */
constexpr milliseconds trial_renewal_wait{150};

/** @brief A renewal counts as lost this long after the requested wait. */
constexpr milliseconds renewal_slack{500};

/** @brief Limits of the time between two renewals of one worker, so that ends in quick succession share a request. */
constexpr milliseconds renewal_gap{60};
constexpr milliseconds longest_renewal_gap{600};

/** @brief The time between two renewals is at least this many times the delay of the event loop: a decider that falls
 * behind handles more ends with each request. */
constexpr int renewal_gap_per_delay{8};

/** @brief Delay after a renewal that failed or got no response. */
constexpr milliseconds renewal_pause{200};

/** @brief Delay before a scheduling pass, so that changes within this time share a pass. */
constexpr milliseconds pass_delay{2};

/** @brief A pass is followed by a pause of at least this many times its duration, so that long passes leave time for
 * responses of the store and of the workers. */
constexpr int pause_per_pass{4};

/** @brief Maximum number of concurrent requests to the permit service. It handles one at a time; with two, the next one
 * has already arrived when a response is sent. */
constexpr int max_permit_requests_in_flight{2};

/** @brief Timeout of a permit request; the service takes some time for each worker in it. */
constexpr milliseconds permit_timeout{1'500};

/** @brief Adds to a log line until when a worker may run what it holds: by whose clock, and from which calls. */
[[nodiscard]] auto add_lease(log_line line, const known_lease& lease) -> log_line
{
    constexpr const char* sources[]{"none", "granted", "inherited", "stale"};
    return std::move(line)
        .with("lease", sources[static_cast<std::size_t>(lease.m_source)])
        .with("lease_until_ms", lease.m_until_ms)
        .with("worker_clock_ms", lease.m_clock_ms)
        .with("incarnation", lease.m_incarnation_start_unix_ms);
}

/** @brief Adds to a log line what tells why a run without a reported end counts as ended. */
[[nodiscard]] auto add_loss(log_line line, const run_event& event, const fencing_token token, const time_point now)
    -> log_line
{
    constexpr const char* causes[]{"lease_over", "missing_in_report",  "new_incarnation",
                                   "vm_command", "start_not_accepted", "start_fenced"};
    return add_lease(std::move(line), event.m_lease)
        .with("cause", causes[static_cast<std::size_t>(event.m_cause)])
        .with("adopted", event.m_adopted)
        .with("lease_left_ms", to_ms(event.m_lease_end - now))
        .with("report_age_ms", to_ms(now - event.m_last_report))
        .with("token", token);
}

/** @brief Adds to a report what it does not state itself. @param token Token of the call that it answers. */
auto complete_report(worker_report& report, const fencing_token token) -> void
{
    report.m_token = token;
    if (report.m_incarnation_start_unix_ms != 0) {
        report.m_incarnation_age = milliseconds{read_clocks().m_unix_ms - report.m_incarnation_start_unix_ms};
    }
}

} // namespace

auto decider::make_call(const worker_index index, const worker_call_kind kind, const milliseconds timeout) const
    -> worker_call
{
    const auto& worker = m_state.m_workers[static_cast<std::size_t>(index)];
    const auto& entry = worker.m_entry;
    worker_call call;
    call.m_kind = kind;
    call.m_worker = entry.m_id;
    call.m_address = entry.m_address;
    call.m_token = fence_of(m_state, worker);
    call.m_timeout = timeout;
    return call;
}

auto decider::call_worker(const worker_index index, worker_call call, std::function<bool()> may_send)
    -> asio::awaitable<worker_call_result>
{
    // Not a coroutine: its frame would be one more allocation for each call.
    if (m_uses_relays && m_relays->is_available()) {
        return m_relays->perform(std::move(call), m_state.m_workers[static_cast<std::size_t>(index)].m_entry.m_zone);
    }
    if (!may_send) {
        may_send = [this] {
            return m_active;
        };
    }
    send_condition condition{monotonic_now() + call.m_timeout, std::move(may_send)};
    return m_calls.perform(std::move(call), std::move(condition));
}

auto decider::renew_worker_lease(const std::shared_ptr<decider> self, const worker_index index) -> asio::awaitable<void>
{
    const auto position = static_cast<std::size_t>(index);
    microseconds gap = renewal_gap;
    while (self->m_active) {
        if (const auto& slot = m_state.m_workers[position];
            !slot.m_registered && slot.m_runs.empty() && !slot.m_takes_stale_leases) {
            m_renewing[position] = false;
            co_return;
        }
        if (awaits_relays()) {
            co_await sleep_for(m_executor, failure_pause);
            continue;
        }
        const auto& worker = m_state.m_workers[position];
        auto renewal = make_call(index, worker_call_kind::renew, renewal_slack);
        const auto token = renewal.m_token;
        // Acknowledgement and lease are for the incarnation that has reported. A worker that does not respond may have
        // restarted: it is only asked for its report.
        const bool is_known = worker.m_has_reported && !worker.m_unresponsive;
        if (is_known && !is_of_other_incarnation(worker)) {
            renewal.m_acknowledged_end = unconfirmed_acknowledgement(worker);
            update_lease_limits(m_state, m_last_renewal(), m_settings.m_term_lease);
            if (const auto granted_ms = grant_lease(m_state, index, monotonic_now()); granted_ms > 0) {
                renewal.m_lease_until_ms = granted_ms;
            }
            renewal.m_wait = !m_state.m_trials.empty() ? trial_renewal_wait : renewal_wait;
            renewal.m_timeout += renewal.m_wait;
        }
        const auto incarnation = worker.m_incarnation_start_unix_ms;
        const auto acknowledged = renewal.m_acknowledged_end;
        const auto lease_until_ms = renewal.m_lease_until_ms;
        const auto sent = monotonic_now();
        auto response = co_await call_worker(index, std::move(renewal), nullptr);
        if (!m_active) {
            co_return;
        }
        const bool refused = response.m_result == command_result::fenced;
        if (refused && settle_fenced(m_state, index, token, response.m_result) != command_result::fenced) {
            // The token was raised while the renewal was in flight.
            continue;
        }
        complete_report(response.m_report, token);
        if (response.m_result == command_result::accepted) {
            apply_report(m_state, index, response.m_report, sent, monotonic_now());
            confirm_acknowledgement(m_state.m_workers[position], incarnation, acknowledged);
            schedule_pass();
            m_progress_event.notify();
            if (is_known) {
                const auto begin = monotonic_now();
                co_await sleep_for(m_executor, gap);
                const auto delay = monotonic_now() - begin - gap;
                gap = std::clamp<microseconds>(delay * renewal_gap_per_delay, renewal_gap, longest_renewal_gap);
            }
            continue;
        }
        if (response.m_result == command_result::fenced) {
            m_state.m_deposed = true;
            check_deposed();
            co_return;
        }
        // Its lease and its acknowledgement may still reach the next incarnation.
        if (lease_until_ms >= 0 && admit_line(m_run_log_budget)) {
            LOG(INFO) << log_line{"renewal_not_answered"}
                             .with("worker", m_state.m_workers[position].m_entry.m_id)
                             .with("incarnation", incarnation)
                             .with("token", token)
                             .with("result", static_cast<int>(response.m_result))
                             .with("lease_until_ms", lease_until_ms)
                             .with("acknowledged_end", acknowledged)
                             .with("waited_ms", to_ms(monotonic_now() - sent));
        }
        m_state.m_workers[position].m_unresponsive = true;
        // A renewal that was not sent says nothing about the worker, but its lease has not been extended either.
        const bool sent_to_worker = response.m_result != command_result::withdrawn;
        co_await sleep_for(m_executor, sent_to_worker ? renewal_pause : failure_pause);
    }
}

auto decider::tick(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active) {
        open_due_occurrences(m_state, read_clocks());
        m_state.m_dispatch_requested = true;
        run_pass();
        log_suspension(monotonic_now());
        for (const auto& command : plan_throttling(m_state, m_settings.m_throttling, monotonic_now())) {
            run_in_term(send_throttle(self, command), "send_throttle");
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
    run_in_term(run_pass_later(shared_from_this()), "run_pass_later");
}

auto decider::run_pass_later(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    co_await sleep_for(m_executor, std::max<microseconds>(pass_delay, m_pass_pause));
    self->m_pass_scheduled = false;
    run_pass();
}

auto decider::log_events() -> void
{
    const auto now = monotonic_now();
    log_dropped_lines(now);
    for (const auto& event : std::exchange(m_state.m_events, {})) {
        if (!admit_line(m_run_log_budget)) {
            continue;
        }
        constexpr const char* names[]{"run_failed",     "run_lost",     "worker_paused", "worker_crashed",
                                      "task_suspected", "task_cleared", "task_given_up"};
        auto line =
            log_line{names[static_cast<std::size_t>(event.m_kind)]}
                .with("request", event.m_task.m_job)
                .with("step", event.m_task.m_step)
                .with("index", event.m_task.m_index)
                .with("run", event.m_run)
                .with("worker", event.m_worker == no_worker
                                    ? std::string{"unknown"}
                                    : m_state.m_workers[static_cast<std::size_t>(event.m_worker)].m_entry.m_id.str())
                .with("failures_in_row", event.m_failures);
        LOG(INFO) << (event.m_kind == run_event_kind::lost ? add_loss(std::move(line), event, m_term.m_token, now)
                                                           : std::move(line));
    }
}

auto decider::log_leases() -> void
{
    for (const auto& event : std::exchange(m_state.m_lease_events, {})) {
        if (admit_line(m_run_log_budget)) {
            LOG(INFO) << add_lease(log_line{"worker_lease"}, event.m_lease)
                             .with("worker", m_state.m_workers[static_cast<std::size_t>(event.m_worker)].m_entry.m_id)
                             .with("answered_token", event.m_token)
                             .with("token", m_term.m_token);
        }
    }
}

auto decider::run_pass() -> void
{
    if (!m_active) {
        return;
    }
    const auto now = monotonic_now();
    update_lease_limits(m_state, m_last_renewal(), m_settings.m_term_lease);
    expire_runs(m_state, now);
    if (m_state.m_dispatch_requested) {
        update_permit_queues();
        dispatch(m_state, now);
    }
    for (auto& request : std::exchange(m_state.m_permit_requests, {})) {
        m_pending_permit_requests.push_back(std::move(request));
        if (m_permit_client != nullptr && m_permit_requests_in_flight < max_permit_requests_in_flight) {
            ++m_permit_requests_in_flight;
            run_in_term(send_permit_requests(shared_from_this()), "send_permit_requests");
        }
    }
    log_events();
    log_leases();
    count_pass(m_load, monotonic_now() - now);
    m_settings.m_metrics->pass_run();
    for (auto& command : std::exchange(m_state.m_starts, {})) {
        run_in_term(send_start(shared_from_this(), std::move(command)), "send_start");
    }
    for (const auto index : std::exchange(m_state.m_fence_announcements, {})) {
        run_in_term(announce_fence(shared_from_this(), index), "announce_fence");
    }
    for (const auto& command : std::exchange(m_state.m_stops, {})) {
        run_in_term(send_stop(shared_from_this(), command), "send_stop");
    }
    if (!m_state.m_dirty.empty()) {
        m_progress_event.notify();
    }
    m_pass_pause = std::min<microseconds>((monotonic_now() - now) * pause_per_pass, tick_interval);
}

auto decider::send_start(const std::shared_ptr<decider> self, start_command command) -> asio::awaitable<void>
{
    if (!self->m_active) {
        co_return;
    }
    const auto now = monotonic_now();
    if (!is_start_valid(m_state, command, now)) {
        ++m_load.m_starts_withdrawn;
        apply_start_result(m_state, command, command_result::withdrawn, now);
        co_return;
    }
    auto* job = find_job(m_state, command.m_task.m_job);
    if (mark_started(m_state, *job)) {
        log_start(command, *job);
    }
    auto start = make_call(command.m_worker, worker_call_kind::start, m_state.m_settings.m_command_timeout);
    start.m_task = command.m_task;
    start.m_run = command.m_run;
    start.m_text = job->m_record.m_spec.m_text;
    start.m_lease_until_ms = grant_start_lease(m_state, command.m_worker, now);
    const auto token = start.m_token;
    const auto incarnation = m_state.m_workers[static_cast<std::size_t>(command.m_worker)].m_incarnation_start_unix_ms;
    record_start(m_state, command, token, start.m_lease_until_ms);
    start.m_checkpoint = command.m_checkpoint;
    start.m_permit = command.m_permit;
    ++m_load.m_starts;
    m_settings.m_metrics->start_sent(age_of(m_load.m_jobs, monotonic_now()));
    begin_command(m_load);
    const auto may_send = [this, command] {
        const auto written = monotonic_now();
        if (!m_active || !is_start_valid(m_state, command, written)) {
            return false;
        }
        const auto age = written - command.m_decided;
        m_load.m_max_start_write_age = std::max(m_load.m_max_start_write_age, age);
        m_settings.m_metrics->start_written(age);
        return true;
    };
    const auto response = co_await call_worker(command.m_worker, std::move(start), may_send);
    const auto result = settle_fenced(m_state, command.m_worker, token, response.m_result);
    end_command(m_load);
    const auto age = monotonic_now() - command.m_decided;
    m_load.m_max_start_answer_age = std::max(m_load.m_max_start_answer_age, age);
    m_settings.m_metrics->start_answered(age);
    if (!m_active) {
        co_return;
    }
    const auto reading_ms = result == command_result::other_worker ? 0 : response.m_report.m_clock_ms;
    if (reading_ms > 0 && detect_restart(m_state, command.m_worker, incarnation, reading_ms, now, monotonic_now())) {
        m_progress_event.notify();
        schedule_pass();
    }
    apply_start_result(m_state, command, result, monotonic_now());
    check_deposed();
    if (result != command_result::accepted && admit_line(m_run_log_budget)) {
        LOG(INFO) << log_line{"start_not_accepted"}
                         .with("request", command.m_task.m_job)
                         .with("step", command.m_task.m_step)
                         .with("index", command.m_task.m_index)
                         .with("worker", m_state.m_workers[static_cast<std::size_t>(command.m_worker)].m_entry.m_id)
                         .with("result", static_cast<int>(result))
                         .with("decided_ms", to_ms(age));
    }
    if (result != command_result::accepted) {
        schedule_pass();
    }
}

auto decider::update_permit_queues() -> void
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

auto decider::send_permit_requests(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active && !m_pending_permit_requests.empty()) {
        const auto request = std::move(m_pending_permit_requests.front());
        m_pending_permit_requests.pop_front();
        std::vector<worker_id> workers;
        for (const auto& [index, incarnation_start] : request.m_workers) {
            workers.push_back(m_state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id);
        }
        const auto sent = monotonic_now();
        const auto response = co_await m_permit_client->query(request.m_step, std::move(workers), permit_timeout);
        if (!m_active) {
            co_return;
        }
        if (!response) {
            LOG_EVERY_N(WARNING, 10) << log_line{"permits_not_answered"}
                                            .with("request", request.m_step.m_job)
                                            .with("step", request.m_step.m_step)
                                            .with("workers", request.m_workers.size());
        }
        apply_permit_response(m_state, request, response, sent, monotonic_now());
        schedule_pass();
    }
    --m_permit_requests_in_flight;
}

auto decider::send_stop(const std::shared_ptr<decider> self, stop_command command) -> asio::awaitable<void>
{
    if (!self->m_active) {
        co_return;
    }
    auto stop = make_call(command.m_worker, worker_call_kind::stop, m_state.m_settings.m_command_timeout);
    stop.m_task = command.m_task;
    stop.m_run = command.m_run;
    const auto token = stop.m_token;
    ++m_load.m_stops;
    m_settings.m_metrics->stop_sent();
    begin_command(m_load);
    const auto response = co_await call_worker(command.m_worker, std::move(stop), nullptr);
    end_command(m_load);
    if (m_active) {
        const auto result = settle_fenced(m_state, command.m_worker, token, response.m_result);
        apply_stop_result(m_state, command, result, monotonic_now());
        check_deposed();
    }
}

auto decider::announce_fence(const std::shared_ptr<decider> self, const worker_index index) -> asio::awaitable<void>
{
    // Not left to the next renewal: the one in flight may wait for a response of the earlier incarnation.
    const auto position = static_cast<std::size_t>(index);
    const auto token = fence_of(m_state, m_state.m_workers[position]);
    const auto began = monotonic_now();
    int attempts{0};
    auto result = command_result::unknown;
    while (self->m_active && result != command_result::accepted) {
        const auto& worker = m_state.m_workers[position];
        if (!worker.m_current || fence_of(m_state, worker) != token) {
            break;
        }
        ++attempts;
        auto call = make_call(index, worker_call_kind::renew, renewal_slack);
        auto response = co_await call_worker(index, std::move(call), nullptr);
        if (!m_active) {
            co_return;
        }
        result = settle_fenced(m_state, index, token, response.m_result);
        if (result == command_result::fenced) {
            m_state.m_deposed = true;
            check_deposed();
            co_return;
        }
        if (result == command_result::accepted) {
            complete_report(response.m_report, token);
            bound_stale_lease(m_state, index, response.m_report);
            m_progress_event.notify();
            schedule_pass();
        }
        if (result != command_result::accepted) {
            co_await sleep_for(m_executor, renewal_pause);
        }
    }
    const auto& worker = m_state.m_workers[position];
    LOG(INFO) << log_line{"worker_restarted"}
                     .with("worker", worker.m_entry.m_id)
                     .with("incarnation", worker.m_fenced_incarnation_unix_ms)
                     .with("token", token)
                     .with("fenced", result == command_result::accepted)
                     .with("attempts", attempts)
                     .with("took_ms", to_ms(monotonic_now() - began));
}

auto decider::send_throttle(const std::shared_ptr<decider> self, throttle_command command) -> asio::awaitable<void>
{
    if (!self->m_active) {
        co_return;
    }
    auto throttle = make_call(command.m_worker, worker_call_kind::set_speed, m_state.m_settings.m_command_timeout);
    throttle.m_task = command.m_task;
    throttle.m_run = command.m_run;
    throttle.m_speed_percent = command.m_speed_percent;
    const auto token = throttle.m_token;
    begin_command(m_load);
    const auto response = co_await call_worker(command.m_worker, std::move(throttle), nullptr);
    end_command(m_load);
    if (m_active) {
        apply_throttle_result(m_state, command, settle_fenced(m_state, command.m_worker, token, response.m_result));
        check_deposed();
    }
}

} // namespace cicadalug
