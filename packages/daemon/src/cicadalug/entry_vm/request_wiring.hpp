#ifndef CICADALUG_ENTRY_VM_REQUEST_WIRING_HPP
#define CICADALUG_ENTRY_VM_REQUEST_WIRING_HPP

#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/replication/replica.hpp>
#include <cicadalug/request/request_path.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>

namespace cicadalug {

/**
 * @brief Connects the request path with the replica and with membership: views, peers, slot messages, drain
 * confirmations and pool usage.
 * @note Thread safety: functions without a note are called on the executor.
 */
class request_wiring {
public:
    /** @brief Receives the drain confirmations of all entry VMs of the zone, including this one. */
    using drained_handler = std::function<void(const entry_vm_id&, incarnation, const drain_report&)>;

    /**
     * @brief Registers the handlers that connect the components. @pre Neither the replica nor membership has started.
     * @param executor Runs the handlers; has to be the executor of membership.
     * @param requests The request path.
     * @param local_replica Provides the views.
     * @param members Provides the peers and sends datagrams.
     */
    request_wiring(const boost::asio::any_io_executor& executor, request_path& requests, replica& local_replica,
                   membership_service& members);

    /** @brief Sets the receiver of drain confirmations, which is the control loop. @pre Membership has not started. */
    auto on_drained(drained_handler function) -> void { m_drained_handler = std::move(function); }

    /** @brief Applies the current view if a complete configuration was loaded. */
    auto apply_view() -> void;

    /**
     * @brief Estimates the demand on the zone from the own load and from the heartbeats of its live entry VMs. Each has
     * an equal share of the slots, so the mean of their loads is the load of the zone.
     * @return For each pool, the number of VMs that the current load occupies.
     */
    [[nodiscard]] auto needed_vms() const -> std::map<pool_id, int>;

    /** @brief Sets the pool usages of a heartbeat. */
    auto fill_heartbeat(heartbeat& filled) const -> void;

private:
    auto apply_peers() -> void;
    auto receive(const datagram& message) -> void;
    auto report_drained(time_point now) -> void;

    boost::asio::any_io_executor m_executor;
    request_path& m_requests;
    replica& m_replica;
    membership_service& m_members;
    drained_handler m_drained_handler;
    std::shared_ptr<const fleet_view> m_applied;
    time_point m_next_report;
};

} // namespace cicadalug

#endif
