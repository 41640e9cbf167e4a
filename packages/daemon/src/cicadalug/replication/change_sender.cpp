#include <cicadalug/replication/change_sender.hpp>

namespace cicadalug {

namespace {

/** @brief Bytes reserved for the rest of the datagram: header, ids, key lengths and version. */
constexpr std::size_t header_reserve{200};

} // namespace

auto make_record_change(const versioned_entry& entry) -> record_change
{
    record_change change{entry, true};
    if (entry.m_key.size() + entry.m_value.m_value.size() + header_reserve > max_datagram) {
        change.m_has_value = false;
        change.m_entry.m_value.m_value.clear();
    }
    return change;
}

auto send_changes_to_zone(membership_service& members, const std::vector<versioned_entry>& changed) -> void
{
    for (const auto& entry : changed) {
        members.send_to_zone(make_record_change(entry));
    }
}

} // namespace cicadalug
