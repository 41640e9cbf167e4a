#include <cicadalug/membership/drain_reporter.hpp>

namespace cicadalug {

namespace {

/** @brief Maximum number of VMs in one datagram: with ids of about 40 characters it stays below max_datagram. */
constexpr std::size_t vms_per_message{20};

} // namespace

auto make_drain_confirmations(const fleet_view& view, const std::function<int(const vm_id&)>& in_flight)
    -> std::vector<drain_report>
{
    std::vector<drain_report> messages;
    for (const auto& [id, record] : view.m_vms) {
        const auto announced = record.m_phase == vm_phase::announced || record.m_phase == vm_phase::draining;
        if (!announced || in_flight(id) > 0) {
            continue;
        }
        if (messages.empty() || messages.back().m_vms.size() == vms_per_message) {
            messages.emplace_back();
        }
        messages.back().m_vms.push_back({id, record.m_announcement});
    }
    return messages;
}

} // namespace cicadalug
