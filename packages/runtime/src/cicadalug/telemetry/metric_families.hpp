#ifndef CICADALUG_TELEMETRY_METRIC_FAMILIES_HPP
#define CICADALUG_TELEMETRY_METRIC_FAMILIES_HPP

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace cicadalug::internal {

/** @brief Registers a family of counters. */
[[nodiscard]] inline auto counter(prometheus::Registry& registry, const char* name, const char* help)
    -> prometheus::Family<prometheus::Counter>&
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

/** @brief Registers a family of gauges. */
[[nodiscard]] inline auto gauge(prometheus::Registry& registry, const char* name, const char* help)
    -> prometheus::Family<prometheus::Gauge>&
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

/** @brief Registers a family of histograms. */
[[nodiscard]] inline auto histogram(prometheus::Registry& registry, const char* name, const char* help)
    -> prometheus::Family<prometheus::Histogram>&
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace cicadalug::internal

#endif
