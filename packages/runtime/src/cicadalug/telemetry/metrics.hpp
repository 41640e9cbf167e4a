#ifndef CICADALUG_TELEMETRY_METRICS_HPP
#define CICADALUG_TELEMETRY_METRICS_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Kind of change that is rolled out. */
enum class roll_out_kind : std::uint8_t { wave, configuration };

/**
 * @brief All metrics of an entry VM, exported in the Prometheus text format. Label values are names of resources,
 * states and results; none comes from a caller, so that a caller cannot create time series.
 * @note Thread safety: all functions can be called concurrently.
 */
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics(metrics&&) = delete;
    auto operator=(const metrics&) -> metrics& = delete;
    auto operator=(metrics&&) -> metrics& = delete;
    ~metrics();

    /** @brief Counts a finished request and records its duration. @param outcome "answered", "not-run" or "unknown". */
    auto request_finished(const service_id& service, std::string_view outcome, microseconds elapsed) -> void;

    /** @brief Counts a finished attempt on an upstream. @param outcome Name of the attempt's outcome. */
    auto attempt_finished(const pool_id& pool, std::string_view outcome) -> void;

    /** @brief Counts a retry. */
    auto request_retried(const service_id& service) -> void;

    /** @brief Counts a request that ran in the spare pool. */
    auto request_overflowed(const service_id& service) -> void;

    /** @brief Sets the number of requests that wait for a slot. */
    auto set_queue_length(const service_id& service, std::size_t requests) -> void;

    /** @brief Sets the number of this entry VM's slots of a pool in one state. @param state "free", "in_use" or "lent".
     */
    auto set_slots(const pool_id& pool, std::string_view state, std::size_t slots) -> void;

    /** @brief Sets the number of ejected upstreams. */
    auto set_ejected(const pool_id& pool, std::size_t vms) -> void;

    /** @brief Sets the number of VMs in one phase of the VM record. */
    auto set_vms(const pool_id& pool, std::string_view phase, std::size_t vms) -> void;

    /** @brief Sets the promised capacity of a pool: the sum of the capacity promised by its services. */
    auto set_promised(const pool_id& pool, std::size_t vms) -> void;

    /** @brief Sets the buffer: the VMs of a pool above the promised capacity of its services. */
    auto set_buffer(const pool_id& pool, std::int64_t vms) -> void;

    /** @brief Records the duration of a finished roll-out. @param elapsed Time from its start to its end. */
    auto roll_out_finished(roll_out_kind kind, milliseconds elapsed) -> void;

    /** @brief Counts a VM that was moved to another pool. */
    auto vm_moved(const pool_id& source, const pool_id& target) -> void;

    /** @brief Sets the configuration version in force. */
    auto set_configuration_version(version in_force) -> void;

    /** @brief Sets the number of entry VMs in one state. @param state "live", "suspect" or "unreachable". */
    auto set_entry_vms(std::string_view state, std::size_t entry_vms) -> void;

    /** @brief Counts a call to the platform. @param result "ok", "conflict", "unavailable" or "unknown". */
    auto platform_called(std::string_view call, std::string_view result) -> void;

    /** @brief Counts a dropped datagram. @param reason For example "unknown_sender" or "malformed". */
    auto datagram_dropped(std::string_view reason) -> void;

    /** @brief Sets the total numbers of exported and dropped spans. */
    auto set_spans(std::uint64_t exported, std::uint64_t dropped) -> void;

    /**
     * @brief Returns the response body for GET /metrics.
     * @return All metrics in the Prometheus text format, version 0.0.4.
     */
    [[nodiscard]] auto text() const -> std::string;

private:
    struct families;
    std::unique_ptr<families> m_families;
};

} // namespace cicadalug

#endif
