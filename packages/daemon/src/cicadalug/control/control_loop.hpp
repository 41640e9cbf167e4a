#ifndef CICADALUG_CONTROL_CONTROL_LOOP_HPP
#define CICADALUG_CONTROL_CONTROL_LOOP_HPP

#include <cicadalug/fleet/zone_control_step.hpp>
#include <cicadalug/fleet/zone_planning.hpp>
#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/platform/platform_client.hpp>
#include <cicadalug/platform/write_id_source.hpp>
#include <cicadalug/replication/replica.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Inputs of the control loop from the request path of its own entry VM. */
struct control_sources {
    /** @brief Returns the VMs whose upstreams do not serve. */
    std::function<std::set<vm_id>()> m_unhealthy;
    /** @brief Returns the number of VMs of each pool that the current demand needs in the zone. */
    std::function<std::map<pool_id, int>()> m_needed_vms;
};

/**
 * @brief Runs the control steps of a zone while this entry VM holds control. It is the only writer of VM records,
 * ledgers and the progress of waves.
 * @note Thread safety: all functions are called on the executor.
 */
class control_loop {
public:
    /**
     * @brief Constructs an inactive loop.
     * @param executor Runs the loop; a strand if the context has several threads.
     * @param platform Client of the platform.
     * @param ids Source of the write ids of this process.
     * @param local_replica Provides the view of the fleet.
     * @param members Provides the entry VMs of the zone.
     * @param zone The zone.
     * @param vm_list_interval Interval between two reads of the platform's VM list.
     * @param sources Inputs from the request path.
     */
    control_loop(const boost::asio::any_io_executor& executor, platform_client& platform, write_id_source& ids,
                 replica& local_replica, membership_service& members, const availability_zone_id& zone,
                 milliseconds vm_list_interval, control_sources sources);

    /** @brief Starts the loop with the epoch of a new term of control; all records are read from the platform again. */
    auto begin(epoch held) -> void;

    /** @brief Stops the loop at the end of control. */
    auto end() -> void;

    /** @brief Handles a message of a peer; messages other than drain confirmations are ignored. */
    auto receive(const datagram& message) -> void;

private:
    [[nodiscard]] auto is_current(std::uint64_t term) const noexcept -> bool { return m_active && term == m_term; }
    [[nodiscard]] auto run(std::uint64_t term) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto load(std::uint64_t term) -> boost::asio::awaitable<bool>;
    [[nodiscard]] auto load_prefix(std::string prefix, std::uint64_t term) -> boost::asio::awaitable<bool>;
    [[nodiscard]] auto watch_ledgers(std::uint64_t term) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto read_vm_list(std::uint64_t term) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto perform(zone_control_effects effects, std::uint64_t term) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto write(zone_control_write change, std::uint64_t term) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto resolve(std::uint64_t term) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto probe_returning_vms(std::uint64_t term) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto make_inputs(const fleet_view& view) -> zone_control_inputs;
    auto log_findings(const findings& found) const -> void;

    boost::asio::any_io_executor m_executor;
    platform_client& m_platform;
    write_id_source& m_ids;
    replica& m_replica;
    membership_service& m_members;
    const availability_zone_id m_zone;
    const milliseconds m_vm_list_interval;
    const control_sources m_sources;
    bool m_active{false};
    /** @brief Number of the current term of control; coroutines of earlier terms end. */
    std::uint64_t m_term{0};
    zone_control_state m_state;
    planner_state m_planner;
    /** @brief Revision at which the ledgers were read; the watch continues after it. */
    version m_ledger_revision;
    std::optional<std::map<vm_id, listed_vm>> m_listed;
    time_point m_vm_list_due;
    /** @brief Writes with an unknown outcome; their keys are read until the platform responds. */
    std::vector<zone_control_write> m_unresolved;
    /** @brief VMs in the phase `returning` that did not accept a connection. */
    std::set<vm_id> m_unresponsive;
};

} // namespace cicadalug

#endif
