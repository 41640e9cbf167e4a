#include <cicadalug/telemetry/scheduler_metrics.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against a renamed or missing metric, which would leave the operators' dashboards without data.
TEST(scheduler_metrics, text_contains_the_metrics)
{
    scheduler_metrics all;
    all.set_decider(true);
    all.start_sent(milliseconds{40});
    all.start_sent(std::nullopt);
    all.start_written(milliseconds{20});
    all.start_answered(milliseconds{250});
    all.stop_sent();
    all.cancel_applied(milliseconds{1'500});
    all.cancel_applied(std::nullopt);
    all.unknown_job_cancelled();
    all.set_long_waits(2);
    all.jobs_ended("orders", true, 3);
    all.jobs_ended("orders", false, 2);
    all.add_job_time("orders", "placed", false, microseconds{2'500});
    all.pass_run();
    all.timer_run(milliseconds{2});
    const auto text = all.text();
    for (const auto* line :
         {"cicadalug_scheduler_decider 1\n", "cicadalug_scheduler_starts_total 2\n",
          "cicadalug_scheduler_stops_total 1\n", "cicadalug_scheduler_cancels_total 2\n",
          "cicadalug_scheduler_unknown_cancels_total 1\n", "cicadalug_scheduler_passes_total 1\n",
          "cicadalug_scheduler_jobs_ended_total{queue=\"orders\",result=\"in_time\"} 3\n",
          "cicadalug_scheduler_jobs_ended_total{queue=\"orders\",result=\"late\"} 2\n",
          "cicadalug_scheduler_job_time_milliseconds_total{part=\"placed\",queue=\"orders\",result=\"late\"} 2.5\n",
          "cicadalug_scheduler_long_running_tasks_waiting 2\n", "cicadalug_scheduler_cancel_delay_seconds_count 1\n",
          "cicadalug_scheduler_cancel_delay_seconds_sum 1.5\n",
          "cicadalug_scheduler_event_loop_delay_seconds_bucket{le=\"0.003\"} 1\n",
          "cicadalug_scheduler_start_jobs_age_seconds_bucket{le=\"0.03\"} 0\n",
          "cicadalug_scheduler_start_jobs_age_seconds_bucket{le=\"0.1\"} 1\n",
          "cicadalug_scheduler_start_write_age_seconds_bucket{le=\"0.03\"} 1\n",
          "cicadalug_scheduler_start_answer_age_seconds_bucket{le=\"0.2\"} 0\n",
          "cicadalug_scheduler_start_answer_age_seconds_bucket{le=\"0.5\"} 1\n"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << '\n' << text;
    }
    all.set_decider(false);
    EXPECT_NE(all.text().find("cicadalug_scheduler_decider 0\n"), std::string::npos);
}

} // namespace
