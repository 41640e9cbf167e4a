#ifndef CICADALUG_SCHEDULER_STORED_WAVE_PROGRESS_HPP
#define CICADALUG_SCHEDULER_STORED_WAVE_PROGRESS_HPP

#include <cicadalug/scheduler/ids.hpp>
#include <cicadalug/scheduler/wave_progress.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace cicadalug {

/** @brief Progress of a maintenance wave as it is kept in the store for the next decider. */
struct stored_wave_progress {
    bool m_completed{false};
    /** @brief When the wave began, in Unix milliseconds. */
    std::int64_t m_began_unix_ms{0};
    /** @brief VMs whose maintenance for the wave has been accepted. */
    std::set<vm_id> m_begun;
    /** @brief VMs that the platform has refused to maintain for the wave. */
    std::set<vm_id> m_excluded;
    /** @brief VMs for which a command has no known response. */
    std::set<vm_id> m_commanded;
};

/** @brief Copies from the progress of a wave what the next decider needs. */
[[nodiscard]] auto save_progress(const wave_progress_state& wave, bool completed, std::int64_t began_unix_ms)
    -> stored_wave_progress;

/** @brief Restores the progress of a wave that an earlier decider has begun. */
auto restore_progress(wave_progress_state& wave, const stored_wave_progress& stored) -> void;

/** @brief Encodes the progress for the store. */
[[nodiscard]] auto encode(const stored_wave_progress& stored) -> std::string;

/** @brief Decodes the progress from the store. Earlier versions wrote VMs without marks only. */
[[nodiscard]] auto decode_wave_progress(const std::string& text) -> stored_wave_progress;

} // namespace cicadalug

#endif
