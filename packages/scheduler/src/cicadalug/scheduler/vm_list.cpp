#include <cicadalug/scheduler/vm_list.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>
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

auto update_vm_list(vm_list& list, vm_listing listed, const time_point requested) -> bool
{
    if (requested < list.m_requested) {
        return false;
    }
    auto& vms = listed.m_vms;
    const auto by_id = [](const vm_status& left, const vm_status& right) {
        return left.m_vm < right.m_vm;
    };
    std::sort(vms.begin(), vms.end(), by_id);
    if (listed.m_partial) {
        std::vector<vm_status> missing;
        std::set_difference(list.m_vms.begin(), list.m_vms.end(), vms.begin(), vms.end(), std::back_inserter(missing),
                            by_id);
        const auto read = static_cast<std::ptrdiff_t>(vms.size());
        vms.insert(vms.end(), std::make_move_iterator(missing.begin()), std::make_move_iterator(missing.end()));
        std::inplace_merge(vms.begin(), vms.begin() + read, vms.end(), by_id);
    }
    list = {std::move(vms), requested};
    return true;
}

} // namespace cicadalug
