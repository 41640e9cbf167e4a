#include <cicadalug/telemetry/metric_families.hpp>
#include <cicadalug/telemetry/scheduler_metrics.hpp>

#include <prometheus/text_serializer.h>

#include <chrono>

namespace cicadalug {

namespace {

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;

using internal::counter;
using internal::gauge;
using internal::histogram;

using fractional_seconds = std::chrono::duration<double>;
using fractional_milliseconds = std::chrono::duration<double, std::milli>;

/** @brief Upper bounds in seconds: delays are some milliseconds on an idle decider, and a cancellation has to take
 * effect within 3 s. */
const Histogram::BucketBoundaries delay_buckets{0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.5, 1, 2, 3, 5, 10};

[[nodiscard]] auto result_name(const bool in_time) -> std::string
{
    return in_time ? "in_time" : "late";
}

} // namespace

struct scheduler_metrics::series {
    prometheus::Registry m_registry;
    Gauge& m_decider{
        gauge(m_registry, "cicadalug_scheduler_decider", "1 if this entry VM is the decider, otherwise 0.").Add({})};
    Counter& m_starts{
        counter(m_registry, "cicadalug_scheduler_starts_total", "Starts of tasks sent to workers.").Add({})};
    Counter& m_stops{counter(m_registry, "cicadalug_scheduler_stops_total", "Stops of runs sent to workers.").Add({})};
    Counter& m_cancels{
        counter(m_registry, "cicadalug_scheduler_cancels_total", "Cancellations of jobs that were applied.").Add({})};
    Counter& m_unknown_cancels{counter(m_registry, "cicadalug_scheduler_unknown_cancels_total",
                                       "Requests of clients to cancel a job that is not stored.")
                                   .Add({})};
    Counter& m_relayed_calls{counter(m_registry, "cicadalug_scheduler_relayed_calls_total",
                                     "Calls to workers carried out for the decider on another entry VM.")
                                 .Add({})};
    Gauge& m_relays{
        gauge(m_registry, "cicadalug_scheduler_relays", "Entry VMs that carry out calls of this decider.").Add({})};
    Gauge& m_long_waits{gauge(m_registry, "cicadalug_scheduler_long_running_tasks_waiting",
                              "Long-running tasks that have been waiting for their start for over 1 s.")
                            .Add({})};
    prometheus::Family<Counter>& m_jobs_ended{counter(m_registry, "cicadalug_scheduler_jobs_ended_total",
                                                      "Completed jobs by whether they met their objective.")};
    prometheus::Family<Counter>& m_job_time{
        counter(m_registry, "cicadalug_scheduler_job_time_milliseconds_total",
                "Time of completed jobs along the tasks that ended last, by what it was spent on.")};
    Counter& m_passes{counter(m_registry, "cicadalug_scheduler_passes_total", "Scheduling passes.").Add({})};
    Histogram& m_cancel_delay{histogram(m_registry, "cicadalug_scheduler_cancel_delay_seconds",
                                        "Time from the write of a cancellation to its application.")
                                  .Add({}, delay_buckets)};
    Histogram& m_timer_delay{
        histogram(m_registry, "cicadalug_scheduler_event_loop_delay_seconds", "How late a timer of the decider ran.")
            .Add({}, delay_buckets)};
    Histogram& m_jobs_age{histogram(m_registry, "cicadalug_scheduler_start_jobs_age_seconds",
                                    "Age of the decider's copy of the jobs when it sent a start.")
                              .Add({}, delay_buckets)};
    Histogram& m_start_write_age{histogram(m_registry, "cicadalug_scheduler_start_write_age_seconds",
                                           "Time from the decision of a start, or on a relay from its handover, to the "
                                           "write of its request to the worker.")
                                     .Add({}, delay_buckets)};
    Histogram& m_start_answer_age{histogram(m_registry, "cicadalug_scheduler_start_answer_age_seconds",
                                            "Time from the decision of a start, or on a relay from its handover, to "
                                            "the worker's response or the timeout.")
                                      .Add({}, delay_buckets)};
};

scheduler_metrics::scheduler_metrics() : m_series{std::make_unique<series>()} {}

scheduler_metrics::~scheduler_metrics() = default;

auto scheduler_metrics::set_decider(const bool is_decider) -> void
{
    m_series->m_decider.Set(is_decider ? 1.0 : 0.0);
}

auto scheduler_metrics::start_sent(const std::optional<microseconds> jobs_age) -> void
{
    m_series->m_starts.Increment();
    if (jobs_age) {
        m_series->m_jobs_age.Observe(fractional_seconds{*jobs_age}.count());
    }
}

auto scheduler_metrics::start_written(const microseconds age) -> void
{
    m_series->m_start_write_age.Observe(fractional_seconds{age}.count());
}

auto scheduler_metrics::start_answered(const microseconds age) -> void
{
    m_series->m_start_answer_age.Observe(fractional_seconds{age}.count());
}

auto scheduler_metrics::stop_sent() -> void
{
    m_series->m_stops.Increment();
}

auto scheduler_metrics::cancel_applied(const std::optional<microseconds> delay) -> void
{
    m_series->m_cancels.Increment();
    if (delay) {
        m_series->m_cancel_delay.Observe(fractional_seconds{*delay}.count());
    }
}

auto scheduler_metrics::unknown_job_cancelled() -> void
{
    m_series->m_unknown_cancels.Increment();
}

auto scheduler_metrics::call_relayed() -> void
{
    m_series->m_relayed_calls.Increment();
}

auto scheduler_metrics::set_relays(const std::size_t relays) -> void
{
    m_series->m_relays.Set(static_cast<double>(relays));
}

auto scheduler_metrics::set_long_waits(const std::size_t tasks) -> void
{
    m_series->m_long_waits.Set(static_cast<double>(tasks));
}

auto scheduler_metrics::jobs_ended(const std::string& queue, const bool in_time, const std::int64_t jobs) -> void
{
    m_series->m_jobs_ended.Add({{"queue", queue}, {"result", result_name(in_time)}})
        .Increment(static_cast<double>(jobs));
}

auto scheduler_metrics::add_job_time(const std::string& queue, const std::string_view part, const bool in_time,
                                     const microseconds time) -> void
{
    m_series->m_job_time.Add({{"queue", queue}, {"part", std::string{part}}, {"result", result_name(in_time)}})
        .Increment(fractional_milliseconds{time}.count());
}

auto scheduler_metrics::pass_run() -> void
{
    m_series->m_passes.Increment();
}

auto scheduler_metrics::timer_run(const microseconds delay) -> void
{
    m_series->m_timer_delay.Observe(fractional_seconds{delay}.count());
}

auto scheduler_metrics::text() const -> std::string
{
    return prometheus::TextSerializer{}.Serialize(m_series->m_registry.Collect());
}

} // namespace cicadalug
