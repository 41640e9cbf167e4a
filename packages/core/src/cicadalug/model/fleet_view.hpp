#ifndef CICADALUG_MODEL_FLEET_VIEW_HPP
#define CICADALUG_MODEL_FLEET_VIEW_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/fleet/vm_record.hpp>
#include <cicadalug/model/planning_policy.hpp>
#include <cicadalug/model/pool.hpp>
#include <cicadalug/model/room.hpp>
#include <cicadalug/model/service.hpp>
#include <cicadalug/model/team.hpp>
#include <cicadalug/model/vm_assignment.hpp>
#include <cicadalug/model/wave.hpp>

#include <map>
#include <set>

namespace cicadalug {

/**
 * @brief Snapshot of all resources and VM records that an entry VM has at one version. Replication builds a new
 * snapshot for each change; once shared, it is never modified. A reference to a missing resource is possible and is
 * ignored by readers.
 */
struct fleet_view {
    /** @brief Highest version that is included in the view. */
    version m_version;
    std::map<pool_id, pool> m_pools;
    std::map<service_id, service> m_services;
    std::map<team_id, team> m_teams;
    std::map<room_id, room> m_rooms;
    std::map<wave_id, wave> m_waves;
    std::map<vm_id, vm_assignment> m_assignments;
    std::map<vm_id, vm_record> m_vms;
    planning_policy m_policy;
    /** @brief VMs that the platform's list marks as leaving; they receive no new work. */
    std::set<vm_id> m_leaving;
};

} // namespace cicadalug

#endif
