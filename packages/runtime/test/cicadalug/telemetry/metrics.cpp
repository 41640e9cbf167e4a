#include <cicadalug/telemetry/metrics.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against a renamed or missing metric, which would leave the operators' dashboards without data.
TEST(metrics, text_contains_the_metrics)
{
    metrics all;
    all.set_buffer(pool_id{"quotes"}, 2);
    all.roll_out_finished(roll_out_kind::wave, milliseconds{1'500});
    all.vm_moved(pool_id{"quotes"}, pool_id{"orders"});
    all.request_finished(service_id{"quotes"}, "answered", milliseconds{20});
    all.set_spans(3, 2);
    all.set_spans(4, 2);
    const auto text = all.text();
    for (const auto* line :
         {"cicadalug_buffer_vms{pool=\"quotes\"} 2", "cicadalug_roll_out_duration_seconds_sum{kind=\"wave\"} 1.5",
          "cicadalug_vm_moves_total{source=\"quotes\",target=\"orders\"} 1",
          "cicadalug_requests_total{outcome=\"answered\",service=\"quotes\"} 1",
          "cicadalug_request_duration_seconds_bucket{service=\"quotes\",le=\"0.025\"} 1",
          "cicadalug_spans_exported_total 4", "cicadalug_spans_dropped_total 2"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << '\n' << text;
    }
}

} // namespace
