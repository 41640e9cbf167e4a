#include <cicadalug/telemetry/metric_families.hpp>
#include <cicadalug/telemetry/metrics.hpp>

#include <prometheus/text_serializer.h>

#include <chrono>

namespace cicadalug {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

using internal::counter;
using internal::gauge;
using internal::histogram;

using fractional_seconds = std::chrono::duration<double>;

/** @brief Upper bounds in seconds, from fast tasks to deadlines of minutes. */
const Histogram::BucketBoundaries request_buckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};
/** @brief Upper bounds in seconds: a configuration change takes effect within 3 s, a wave can take a night. */
const Histogram::BucketBoundaries roll_out_buckets{0.1, 0.3, 1, 3, 10, 30, 100, 300, 1'000, 3'000, 10'000, 30'000};

/** @brief Raises a counter to a total that is counted elsewhere. */
auto increase_to(Counter& target, const std::uint64_t value) -> void
{
    if (const auto difference = static_cast<double>(value) - target.Value(); difference > 0) {
        target.Increment(difference);
    }
}

} // namespace

struct metrics::families {
    prometheus::Registry m_registry;
    Family<Counter>& m_requests{
        counter(m_registry, "cicadalug_requests_total", "Finished requests of callers by outcome.")};
    Family<Histogram>& m_request_seconds{histogram(m_registry, "cicadalug_request_duration_seconds",
                                                   "Time from reading a request to its whole answer.")};
    Family<Counter>& m_attempts{counter(m_registry, "cicadalug_upstream_attempts_total", "Attempts on upstreams.")};
    Family<Counter>& m_retries{counter(m_registry, "cicadalug_retries_total", "Attempts after the first one.")};
    Family<Counter>& m_overflows{
        counter(m_registry, "cicadalug_overflow_requests_total", "Requests that ran in the spare pool.")};
    Family<Gauge>& m_queue{gauge(m_registry, "cicadalug_queue_requests", "Requests that wait for a slot.")};
    Family<Gauge>& m_slots{gauge(m_registry, "cicadalug_slots", "Slots of this entry VM by state.")};
    Family<Gauge>& m_ejected{gauge(m_registry, "cicadalug_ejected_vms", "Upstreams that this entry VM ejected.")};
    Family<Gauge>& m_vms{gauge(m_registry, "cicadalug_vms", "VMs by phase of the VM record.")};
    Family<Gauge>& m_promised{
        gauge(m_registry, "cicadalug_promised_vms", "VMs that the services of a pool promise, over all zones.")};
    Family<Gauge>& m_buffer{
        gauge(m_registry, "cicadalug_buffer_vms", "VMs of a pool above the promises of its services.")};
    Family<Histogram>& m_roll_out_seconds{
        histogram(m_registry, "cicadalug_roll_out_duration_seconds", "Time of a finished roll-out.")};
    Family<Counter>& m_moves{counter(m_registry, "cicadalug_vm_moves_total", "VMs that changed pools.")};
    Family<Gauge>& m_version{gauge(m_registry, "cicadalug_configuration_version", "Version in force.")};
    Family<Gauge>& m_entry_vms{gauge(m_registry, "cicadalug_entry_vms", "Entry VMs by state as seen here.")};
    Family<Counter>& m_platform_calls{
        counter(m_registry, "cicadalug_platform_calls_total", "Calls to the platform by result.")};
    Family<Counter>& m_datagrams_dropped{
        counter(m_registry, "cicadalug_datagrams_dropped_total", "Datagrams that were not accepted.")};
    Family<Counter>& m_spans_exported{
        counter(m_registry, "cicadalug_spans_exported_total", "Spans that the collector accepted.")};
    Family<Counter>& m_spans_dropped{
        counter(m_registry, "cicadalug_spans_dropped_total", "Spans dropped: queue full or export failed.")};
};

metrics::metrics() : m_families{std::make_unique<families>()} {}

metrics::~metrics() = default;

auto metrics::request_finished(const service_id& service, const std::string_view outcome, const microseconds elapsed)
    -> void
{
    m_families->m_requests.Add({{"service", service.str()}, {"outcome", std::string{outcome}}}).Increment();
    m_families->m_request_seconds.Add({{"service", service.str()}}, request_buckets)
        .Observe(fractional_seconds{elapsed}.count());
}

auto metrics::attempt_finished(const pool_id& pool, const std::string_view outcome) -> void
{
    m_families->m_attempts.Add({{"pool", pool.str()}, {"outcome", std::string{outcome}}}).Increment();
}

auto metrics::request_retried(const service_id& service) -> void
{
    m_families->m_retries.Add({{"service", service.str()}}).Increment();
}

auto metrics::request_overflowed(const service_id& service) -> void
{
    m_families->m_overflows.Add({{"service", service.str()}}).Increment();
}

auto metrics::set_queue_length(const service_id& service, const std::size_t requests) -> void
{
    m_families->m_queue.Add({{"service", service.str()}}).Set(static_cast<double>(requests));
}

auto metrics::set_slots(const pool_id& pool, const std::string_view state, const std::size_t slots) -> void
{
    m_families->m_slots.Add({{"pool", pool.str()}, {"state", std::string{state}}}).Set(static_cast<double>(slots));
}

auto metrics::set_ejected(const pool_id& pool, const std::size_t vms) -> void
{
    m_families->m_ejected.Add({{"pool", pool.str()}}).Set(static_cast<double>(vms));
}

auto metrics::set_vms(const pool_id& pool, const std::string_view phase, const std::size_t vms) -> void
{
    m_families->m_vms.Add({{"pool", pool.str()}, {"phase", std::string{phase}}}).Set(static_cast<double>(vms));
}

auto metrics::set_promised(const pool_id& pool, const std::size_t vms) -> void
{
    m_families->m_promised.Add({{"pool", pool.str()}}).Set(static_cast<double>(vms));
}

auto metrics::set_buffer(const pool_id& pool, const std::int64_t vms) -> void
{
    m_families->m_buffer.Add({{"pool", pool.str()}}).Set(static_cast<double>(vms));
}

auto metrics::roll_out_finished(const roll_out_kind kind, const milliseconds elapsed) -> void
{
    m_families->m_roll_out_seconds
        .Add({{"kind", kind == roll_out_kind::wave ? "wave" : "configuration"}}, roll_out_buckets)
        .Observe(fractional_seconds{elapsed}.count());
}

auto metrics::vm_moved(const pool_id& source, const pool_id& target) -> void
{
    m_families->m_moves.Add({{"source", source.str()}, {"target", target.str()}}).Increment();
}

auto metrics::set_configuration_version(const version in_force) -> void
{
    m_families->m_version.Add({}).Set(static_cast<double>(in_force.value()));
}

auto metrics::set_entry_vms(const std::string_view state, const std::size_t entry_vms) -> void
{
    m_families->m_entry_vms.Add({{"state", std::string{state}}}).Set(static_cast<double>(entry_vms));
}

auto metrics::platform_called(const std::string_view call, const std::string_view result) -> void
{
    m_families->m_platform_calls.Add({{"call", std::string{call}}, {"result", std::string{result}}}).Increment();
}

auto metrics::datagram_dropped(const std::string_view reason) -> void
{
    m_families->m_datagrams_dropped.Add({{"reason", std::string{reason}}}).Increment();
}

auto metrics::set_spans(const std::uint64_t exported, const std::uint64_t dropped) -> void
{
    increase_to(m_families->m_spans_exported.Add({}), exported);
    increase_to(m_families->m_spans_dropped.Add({}), dropped);
}

auto metrics::text() const -> std::string
{
    return prometheus::TextSerializer{}.Serialize(m_families->m_registry.Collect());
}

} // namespace cicadalug
