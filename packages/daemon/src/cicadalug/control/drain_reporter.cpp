#include <cicadalug/control/drain_reporter.hpp>

#include <cstddef>

namespace cicadalug {

namespace {

/** @brief With ids of up to 40 characters, this many confirmations fit into one datagram. */
constexpr std::size_t vms_per_datagram{16};

} // namespace

auto make_drained(const fleet_view& view, const std::function<bool(const vm_id&)>& has_work_in_flight)
    -> std::vector<drained>
{
    std::vector<drained> messages;
    for (const auto& [id, record] : view.m_vms) {
        if (record.m_phase != vm_phase::announced || has_work_in_flight(id)) {
            continue;
        }
        if (messages.empty() || messages.back().m_vms.size() == vms_per_datagram) {
            messages.emplace_back();
        }
        messages.back().m_vms.push_back({id, record.m_announcement});
    }
    return messages;
}

} // namespace cicadalug
