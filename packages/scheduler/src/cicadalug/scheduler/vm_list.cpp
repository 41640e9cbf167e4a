#include <cicadalug/scheduler/vm_list.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

auto find_vm(const std::vector<vm_status>& vms, const vm_id& id) -> const vm_status*
{
    const auto found = std::lower_bound(vms.begin(), vms.end(), id,
                                        [](const vm_status& vm, const vm_id& wanted) { return vm.m_vm < wanted; });
    return found == vms.end() || found->m_vm != id ? nullptr : &*found;
}

auto is_current(const vm_list& list, const time_point now) -> bool
{
    return !list.m_vms.empty() && now - list.m_requested <= max_vm_list_age;
}

auto update_vm_list(vm_list& list, std::vector<vm_status> vms, const time_point requested) -> bool
{
    if (requested < list.m_requested) {
        return false;
    }
    std::sort(vms.begin(), vms.end(),
              [](const vm_status& left, const vm_status& right) { return left.m_vm < right.m_vm; });
    list = {std::move(vms), requested};
    return true;
}

} // namespace cicadalug
