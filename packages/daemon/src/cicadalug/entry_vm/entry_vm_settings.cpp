#include <cicadalug/entry_vm/entry_vm_settings.hpp>

#include <sstream>

namespace cicadalug {

namespace {

template<typename Endpoint>
[[nodiscard]] auto to_text(const Endpoint& endpoint) -> std::string
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace

auto make_entry_vm_settings(const settings& read) -> entry_vm_settings
{
    entry_vm_settings made;
    made.m_id = read.m_entry_vm;
    made.m_availability_zone = read.m_availability_zone;
    made.m_listen = to_text(read.m_operators);
    made.m_datagram_listen = to_text(read.m_datagrams);
    made.m_platform = to_text(read.m_platform);
    made.m_balancer_delay = read.m_balancer_delay;
    made.m_threads = read.m_worker_threads;
    made.m_entry_vms.push_back({made.m_id, made.m_availability_zone, made.m_listen, made.m_datagram_listen});
    for (const auto& peer : read.m_peers) {
        made.m_entry_vms.push_back(
            {peer.m_entry_vm, peer.m_availability_zone, to_text(peer.m_operators), to_text(peer.m_datagrams)});
    }
    return made;
}

} // namespace cicadalug
