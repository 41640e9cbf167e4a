#ifndef CICADALUG_DAEMON_MEMBERSHIP_CONTROL_LEASE_MANAGER_HPP
#define CICADALUG_DAEMON_MEMBERSHIP_CONTROL_LEASE_MANAGER_HPP

#include <cicadalug/membership/control_lease.hpp>
#include <cicadalug/membership/membership_state.hpp>
#include <cicadalug/platform/platform_client.hpp>
#include <cicadalug/platform/write_id_source.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace cicadalug {

/**
 * @brief Acquires and renews the control lease of a zone by making the calls that the state machine of
 * control_lease.hpp requests. Functions without a note on thread safety are called on the executor.
 */
class control_lease_manager {
public:
    using begin_handler = std::function<void(epoch)>;
    using end_handler = std::function<void()>;

    /**
     * @brief Constructs the manager without the lease, as a follower.
     * @param executor Runs the calls; a strand if the context has several threads.
     * @param platform Client of the platform.
     * @param ids Source of the write ids of this process.
     * @param self This entry VM.
     * @param zone Its zone.
     * @param settings Time settings of the lease.
     */
    control_lease_manager(const boost::asio::any_io_executor& executor, platform_client& platform, write_id_source& ids,
                          const entry_vm_id& self, const availability_zone_id& zone, const control_settings& settings);

    /** @brief Sets the functions that are called when control begins and ends. @pre tick() was not called yet. */
    auto set_control_handlers(begin_handler begin, end_handler end) -> void;

    /** @brief Advances the state machine of the lease to the given time. */
    auto tick(const membership_state& table, time_point now) -> void;

    /** @brief Handles a pause of the process. */
    auto handle_process_pause(time_point now) -> void;

    /** @brief Revokes the lease and waits for the response. If the platform is down, the lease expires by itself. */
    [[nodiscard]] auto release() -> boost::asio::awaitable<void>;

    /** @brief Returns the epoch while control is held. @note Thread safety: can be called concurrently. */
    [[nodiscard]] auto held_epoch() const -> std::optional<epoch>;

    /**
     * @brief Returns the epoch for heartbeats, also while epochs are raised or the lease is verified; zero for a
     * follower. @note Thread safety: can be called concurrently.
     */
    [[nodiscard]] auto announced_epoch() const -> epoch;

private:
    template<typename Function>
    [[nodiscard]] auto update_state(Function function) -> control_effects;
    auto perform(const control_effects& effects) -> void;
    [[nodiscard]] auto make_platform_call(control_effect effect) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto grant_lease(control_effect effect) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto write_key(control_effect effect) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto renew_lease(control_effect effect) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto raise_epochs(control_effect effect) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto raise_record_epoch(kv_entry record, epoch target) -> boost::asio::awaitable<bool>;
    auto report_failure(std::uint64_t attempt) -> void;

    boost::asio::any_io_executor m_executor;
    platform_client& m_platform;
    write_id_source& m_ids;
    const entry_vm_id m_self;
    const availability_zone_id m_zone;
    begin_handler m_begin;
    end_handler m_end;
    /** @brief Guards m_state only; no other lock is acquired while it is held. */
    mutable std::mutex m_mutex;
    control_state m_state;
};

} // namespace cicadalug

#endif
