#ifndef CICADALUG_MODEL_WAVE_HPP
#define CICADALUG_MODEL_WAVE_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>

#include <vector>

namespace cicadalug {

/** @brief Maintenance wave: drains and reboots each VM of some pools once. */
struct wave {
    wave_id m_id;
    std::vector<pool_id> m_pools;
    /**
     * @brief Largest number of VMs of one availability zone that may be out of service at the same time; if 0, only the
     * availability budgets limit it.
     */
    int m_batch_limit{0};
    /** @brief Time limit for the requests and tasks of a VM to finish. */
    milliseconds m_drain_timeout{60'000};
    /** @brief Time limit for a VM to return to service after its reboot was requested. */
    milliseconds m_reboot_timeout{300'000};
    /** @brief True while an operator has paused the wave. */
    bool m_paused{false};
};

} // namespace cicadalug

#endif
