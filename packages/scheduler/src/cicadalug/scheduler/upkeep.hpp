#ifndef CICADALUG_SCHEDULER_UPKEEP_HPP
#define CICADALUG_SCHEDULER_UPKEEP_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/ids.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief The operator's order to maintain a set of VMs. */
struct wave_order {
    std::int64_t m_wave{0};
    std::vector<vm_id> m_vms;
    milliseconds m_duration{0};
    /** @brief Greatest number of the wave's VMs that may be down for it at the same time. */
    std::int64_t m_concurrency{1};
};

} // namespace cicadalug

#endif
