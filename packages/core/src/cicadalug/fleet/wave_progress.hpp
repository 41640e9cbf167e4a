#ifndef CICADALUG_FLEET_WAVE_PROGRESS_HPP
#define CICADALUG_FLEET_WAVE_PROGRESS_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>
#include <cicadalug/fleet/vm_record.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace cicadalug {

/** @brief Value of the key `wave/{zone}/{wave}`: progress of a wave in one zone, with the outcome of every VM. */
struct wave_progress {
    epoch m_epoch;
    write_id m_write_id;
    wave_id m_wave;
    /** @brief VMs of the wave at its start with their outcomes; `none` while a VM is open. */
    std::map<vm_id, operation_outcome> m_vms;
    /** @brief True while the wave is paused because failures were correlated. */
    bool m_paused{false};
    /**
     * @brief Maximum number of VMs out of service at a time after a pause; 0 means no limit. It doubles with each
     * success.
     */
    int m_batch_cap{0};
    /** @brief Number of operations that ended, and that failed, in the current window of the pause rule. */
    int m_ended{0};
    int m_failed{0};
    bool m_finished{false};
    /** @brief True if the wave resource was deleted. A wave that is created later with the same name is a new run. */
    bool m_closed{false};
    /**
     * @brief Number of the run under this name. It is part of the operation id, so that outcomes of an earlier run do
     * not count.
     */
    std::uint64_t m_run{0};

    [[nodiscard]] friend auto operator==(const wave_progress&, const wave_progress&) -> bool = default;
};

/** @brief Returns the key of the progress of a wave in one zone. */
[[nodiscard]] auto wave_key(const availability_zone_id& zone, const wave_id& wave) -> std::string;

/** @brief Returns the id of the operation that holds the VMs of a wave. */
[[nodiscard]] auto wave_operation_id(const wave_progress& progress) -> operation_id;

/** @brief Serializes the progress of a wave to JSON. */
[[nodiscard]] auto wave_progress_to_json(const wave_progress& progress) -> nlohmann::json;

/**
 * @brief Parses the progress of a wave from JSON.
 * @param json Value of a key `wave/{zone}/{wave}`.
 * @return The progress, or all errors with their locations.
 */
[[nodiscard]] auto parse_wave_progress(const nlohmann::json& json) -> result<wave_progress>;

} // namespace cicadalug

#endif
