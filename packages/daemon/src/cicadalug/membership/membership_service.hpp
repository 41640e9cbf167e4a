#ifndef CICADALUG_DAEMON_MEMBERSHIP_MEMBERSHIP_SERVICE_HPP
#define CICADALUG_DAEMON_MEMBERSHIP_MEMBERSHIP_SERVICE_HPP

#include <cicadalug/datagram/datagram_socket.hpp>
#include <cicadalug/membership/membership_state.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace cicadalug {

/**
 * @brief Maintains the table of entry VMs by heartbeats, and sends and receives datagrams for other components.
 * Handlers are called on the executor and have to be set before start().
 */
class membership_service {
public:
    using heartbeat_source = std::function<void(const availability_zone_id& receiver_zone, heartbeat& filled)>;
    using datagram_handler = std::function<void(const datagram&)>;
    using change_handler = std::function<void(const membership_change&)>;
    using pause_handler = std::function<void(milliseconds)>;
    using tick_handler = std::function<void(time_point)>;

    /**
     * @brief Opens the datagram socket.
     * @param executor Runs the service; a strand if the context has several threads.
     * @param own This entry VM.
     * @param peers All other entry VMs of the deployment.
     * @param started Incarnation of this process.
     * @throws boost::system::system_error if the address is not available.
     */
    membership_service(const boost::asio::any_io_executor& executor, const entry_vm_info& own,
                       const std::vector<entry_vm_info>& peers, incarnation started);

    /** @brief Sets the function that sets version, digest, control epoch and pool usage of a heartbeat. */
    auto set_heartbeat_source(heartbeat_source function) -> void { m_heartbeat_source = std::move(function); }

    /**
     * @brief Adds a handler of all received datagrams, including heartbeats. It ignores the types that it does not
     * use.
     */
    auto on_datagram(datagram_handler function) -> void { m_datagram_handlers.push_back(std::move(function)); }

    /** @brief Adds a handler of changes of the table. */
    auto on_change(change_handler function) -> void { m_change_handlers.push_back(std::move(function)); }

    /** @brief Adds a handler that is called when the process was paused for more than a second. */
    auto on_pause(pause_handler function) -> void { m_pause_handlers.push_back(std::move(function)); }

    /**
     * @brief Adds a handler that is called about ten times per second, after the handlers of on_pause() if there was a
     * pause.
     */
    auto on_tick(tick_handler function) -> void { m_tick_handlers.push_back(std::move(function)); }

    /** @brief Starts the heartbeats. */
    auto start() -> void;

    /** @brief Sends a heartbeat to the zone immediately, for changes that should not wait for the next one. */
    auto announce() -> void { send_zone_heartbeats(); }

    /** @brief Returns the table. @note Thread safety: can be called concurrently. */
    [[nodiscard]] auto table() const -> membership_state;

    /** @brief Returns the incarnation of this process. */
    [[nodiscard]] auto own_incarnation() const noexcept -> incarnation { return m_incarnation; }

    /** @brief Applies the platform's VM list. @note Thread safety: can be called concurrently. */
    auto apply_platform_vm_list(const std::set<entry_vm_id>& listed) -> void;

    /** @brief Sends a message to one entry VM. @note Thread safety: can be called concurrently. */
    auto send(const entry_vm_id& to, const datagram_body& body) -> void { m_socket.send(to, body); }

    /** @brief Sends a message to all other entry VMs of the zone. @note Thread safety: can be called concurrently. */
    auto send_to_zone(const datagram_body& body) -> void;

    /** @brief Sends a message to one entry VM of each other zone. @note Thread safety: can be called concurrently. */
    auto send_to_other_zones(const datagram_body& body) -> void;

    /** @brief Returns the counts of datagrams. @note Thread safety: can be called concurrently. */
    [[nodiscard]] auto datagram_totals() const -> datagram_counts { return m_socket.counts(); }

private:
    [[nodiscard]] auto run() -> boost::asio::awaitable<void>;
    auto tick(time_point now) -> void;
    auto receive(const datagram& message) -> void;
    auto send_heartbeat(const entry_vm_id& to, const availability_zone_id& zone) -> void;
    auto send_zone_heartbeats() -> void;
    auto send_remote_heartbeats() -> void;
    auto notify(const std::vector<membership_change>& changes) -> void;
    [[nodiscard]] auto next_heartbeat_receivers(std::size_t rotation) const -> std::vector<entry_vm_info>;

    boost::asio::any_io_executor m_executor;
    const entry_vm_id m_self;
    const availability_zone_id m_zone;
    const incarnation m_incarnation;
    heartbeat_source m_heartbeat_source;
    std::vector<datagram_handler> m_datagram_handlers;
    std::vector<change_handler> m_change_handlers;
    std::vector<pause_handler> m_pause_handlers;
    std::vector<tick_handler> m_tick_handlers;
    /** @brief Guards m_state only; no other lock is acquired while it is held. */
    mutable std::mutex m_mutex;
    membership_state m_state;
    std::uint64_t m_sequence{0};
    std::size_t m_rotation{0};
    time_point m_last_tick;
    time_point m_next_zone_heartbeat;
    time_point m_next_remote_heartbeat;
    datagram_socket m_socket;
};

} // namespace cicadalug

#endif
