#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/decider.hpp>
#include <cicadalug/entry/decider_times.hpp>
#include <cicadalug/entry/job_times_line.hpp>
#include <cicadalug/entry/wait_line.hpp>
#include <cicadalug/scheduler/cancel_time.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/wait_cause.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace cicadalug {

namespace {

using internal::to_ms;

/** @brief Interval of the timer that measures the delay of the event loop. */
constexpr milliseconds loop_probe_interval{50};

/** @brief Interval of the log lines about the load. */
constexpr milliseconds load_log_interval{1'000};

/** @brief A long-running task that has been waiting for this long is logged with the cause; the platform's rules allow
 * 3 s while a worker has room. */
constexpr milliseconds logged_wait{1'000};

/** @brief Maximum number of waiting tasks that are logged in each load_log_interval; the others are counted. */
constexpr std::size_t logged_waits{10};

/** @brief Formats a duration in milliseconds for a log line; "unknown" if there is none. */
template<typename Duration>
[[nodiscard]] auto format_ms(const std::optional<Duration> time) -> std::string
{
    return time ? std::to_string(to_ms(*time)) : "unknown";
}

[[nodiscard]] auto max_age(const copy_age& copy) -> std::optional<microseconds>
{
    return copy.m_sent ? std::optional{copy.m_max} : std::nullopt;
}

} // namespace

auto decider::observe_load(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active) {
        const auto begin = monotonic_now();
        co_await sleep_for(m_executor, loop_probe_interval);
        if (!m_active) {
            co_return;
        }
        const auto now = monotonic_now();
        const auto delay = std::max(microseconds{0}, now - begin - loop_probe_interval);
        m_load.m_max_loop_delay = std::max(m_load.m_max_loop_delay, delay);
        m_settings.m_metrics->timer_run(delay);
        if (now - m_load.m_began >= load_log_interval) {
            log_load();
            log_long_waits(now);
        }
    }
}

auto decider::record_jobs_read(const std::optional<time_point> proven) -> void
{
    if (proven) {
        m_state.m_jobs_current_at = std::max(m_state.m_jobs_current_at, *proven);
        refresh(m_load.m_jobs, *proven, monotonic_now());
    }
}

auto decider::record_workers_read(const std::optional<time_point> proven) -> void
{
    if (proven) {
        m_state.m_workers_current_at = std::max(m_state.m_workers_current_at, *proven);
        refresh(m_load.m_workers, *proven, monotonic_now());
    }
}

auto decider::log_suspension(const time_point now) -> void
{
    const bool suspended = !may_start(m_state, now);
    if (suspended != m_starts_suspended) {
        m_starts_suspended = suspended;
        LOG(INFO) << log_line{suspended ? "starts_suspended" : "starts_resumed"}
                         .with("token", m_term.m_token)
                         .with("renewal_age_ms", to_ms(now - m_last_renewal()))
                         .with("jobs_age_ms", to_ms(now - m_state.m_jobs_current_at))
                         .with("workers_age_ms", to_ms(now - m_state.m_workers_current_at));
    }
}

auto decider::log_load() -> void
{
    const auto now = monotonic_now();
    const auto load = take_window(m_load, now);
    m_settings.m_metrics->set_relays(m_relays->live_relays());
    log_class_times(now);
    LOG(INFO) << log_line{"decider_load"}
                     .with("token", m_term.m_token)
                     .with("window_ms", to_ms(now - load.m_began))
                     .with("jobs_age_ms", format_ms(max_age(load.m_jobs)))
                     .with("workers_age_ms", format_ms(max_age(load.m_workers)))
                     .with("failed_watches", load.m_failed_watches)
                     .with("watches", load.m_watches)
                     .with("watches_behind", load.m_watches_behind)
                     .with("revisions_behind", load.m_max_revisions_behind)
                     .with("watch_changes", load.m_max_changes)
                     .with("loop_delay_ms", to_ms(load.m_max_loop_delay))
                     .with("starts", load.m_starts)
                     .with("starts_withdrawn", load.m_starts_withdrawn)
                     .with("start_write_age_ms", to_ms(load.m_max_start_write_age))
                     .with("start_answer_age_ms", to_ms(load.m_max_start_answer_age))
                     .with("stops", load.m_stops)
                     .with("commands_in_flight", load.m_max_commands_in_flight)
                     .with("cancels", load.m_cancels)
                     .with("unknown_cancels", load.m_unknown_cancels)
                     .with("early_cancels", m_state.m_early_cancels.size())
                     .with("cancel_delay_ms", load.m_max_cancel_delay.count())
                     .with("trials", m_state.m_trials.size())
                     .with("trials_started", std::count_if(m_state.m_trials.begin(), m_state.m_trials.end(),
                                                           [](const task_trial& trial) { return trial.m_started; }))
                     .with("relays", m_relays->live_relays())
                     .with("passes", load.m_passes)
                     .with("pass_ms", to_ms(load.m_pass_time));
}

auto decider::log_long_waits(const time_point now) -> void
{
    if (!m_loaded) {
        return;
    }
    const auto waits = find_long_waits(m_state, logged_wait, logged_waits, now);
    m_settings.m_metrics->set_long_waits(waits.m_count);
    for (const auto& wait : waits.m_explained) {
        LOG(INFO) << make_wait_line(wait, m_term.m_token);
    }
    if (waits.m_count > waits.m_explained.size()) {
        LOG(INFO) << log_line{"tasks_waiting"}.with("count", waits.m_count).with("token", m_term.m_token);
    }
}

auto decider::record_job_end(const job_entry& job, const time_point stored) -> void
{
    if (!has_times(job)) {
        return;
    }
    const auto& queue = job.m_record.m_policy.m_queue;
    count_job(m_class_times[queue], job, stored);
    log_dropped_lines(stored);
    if (stored <= job.m_deadline || !admit_line(m_run_log_budget)) {
        return;
    }
    const auto times = times_until_stored(job, stored);
    LOG(INFO) << add_parts(log_line{"job_late"}
                               .with("queue", queue)
                               .with("request", job.m_record.m_id)
                               .with("took_ms", to_ms(stored - job.m_arrived))
                               .with("objective_ms", to_ms(job.m_deadline - job.m_arrived))
                               .with("found_late", job.m_found_late)
                               .with("bound_by", name_of(largest_delay(times))),
                           times, 1);
}

auto decider::log_class_times(const time_point now) -> void
{
    const auto ended = std::exchange(m_class_times, {});
    for (const auto& [queue, backlog] : find_backlogs(m_state, ended, now)) {
        const auto found = ended.find(queue);
        const auto times = found == ended.end() ? class_times{} : found->second;
        m_settings.m_metrics->jobs_ended(queue.str(), true, times.m_in_time);
        m_settings.m_metrics->jobs_ended(queue.str(), false, times.m_late);
        for (std::size_t number = 0; number < job_parts; ++number) {
            const auto part = static_cast<job_part>(number);
            m_settings.m_metrics->add_job_time(queue.str(), name_of(part), true, times.m_times_in_time[part]);
            m_settings.m_metrics->add_job_time(queue.str(), name_of(part), false, times.m_times_late[part]);
        }
        if (times.m_late == 0 && backlog.m_overdue == 0) {
            continue;
        }
        auto line = log_line{"late_jobs"}
                        .with("queue", queue)
                        .with("in_time", times.m_in_time)
                        .with("late", times.m_late)
                        .with("overdue", backlog.m_overdue)
                        .with("accepting", backlog.m_accepting)
                        .with("cordoned", backlog.m_cordoned)
                        .with("not_accepting", backlog.m_not_accepting);
        if (times.m_late > 0) {
            auto extended = std::move(line)
                                .with("found_in_time", times.m_found_in_time)
                                .with("late_by_ms", to_ms(times.m_lateness / times.m_late))
                                .with("bound_by", name_of(most_frequent_bound(times)));
            line = add_parts(std::move(extended), times.m_times_late, times.m_late);
        }
        LOG(INFO) << line;
    }
}

auto decider::log_dropped_lines(const time_point now) -> void
{
    if (const auto dropped = begin_window(m_run_log_budget, now); dropped > 0) {
        LOG(WARNING) << log_line{"run_events_not_logged"}.with("count", dropped);
    }
}

auto decider::log_start(const start_command& command, const job_entry& job) -> void
{
    const auto now = monotonic_now();
    LOG(INFO) << log_line{"job_started"}
                     .with("request", command.m_task.m_job)
                     .with("queue", job.m_record.m_policy.m_queue)
                     .with("waited_ms", to_ms(now - job.m_arrived))
                     .with("left_ms", to_ms(job.m_deadline - now))
                     .with("worker", m_state.m_workers[static_cast<std::size_t>(command.m_worker)].m_entry.m_id)
                     .with("token", m_term.m_token)
                     .with("jobs_age_ms", format_ms(age_of(m_load.m_jobs, now)))
                     .with("decided_ms", to_ms(now - command.m_decided));
}

auto decider::apply_cancel(const job_id& id, const std::string_view value, const clock_reading& clock) -> void
{
    const auto* job = find_job(m_state, id);
    // A cancellation that is repeated or comes after the end of the job changes nothing. A takeover reads all of them
    // again.
    if (job == nullptr ? m_state.m_early_cancels.contains(id) : is_final(job->m_state)) {
        return;
    }
    const auto delay = cancel_delay(value, clock.m_unix_ms);
    count_cancel(m_load, delay);
    m_load.m_unknown_cancels += job == nullptr ? 1 : 0;
    m_settings.m_metrics->cancel_applied(delay);
    log_dropped_lines(clock.m_now);
    if (admit_line(m_run_log_budget)) {
        const auto runs = occupying_runs_of(m_state, id);
        const auto last_start = runs.m_last_start ? std::optional{clock.m_now - *runs.m_last_start} : std::nullopt;
        LOG(INFO) << log_line{"job_cancelled"}
                         .with("request", id)
                         .with("delay_ms", format_ms(delay))
                         .with("known", job != nullptr)
                         .with("runs", runs.m_count)
                         .with("last_start_ms", format_ms(last_start))
                         .with("token", m_term.m_token);
    }
    cancel_job(m_state, id, clock.m_now);
}

} // namespace cicadalug
