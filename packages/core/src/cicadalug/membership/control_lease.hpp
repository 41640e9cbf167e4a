#ifndef CICADALUG_MEMBERSHIP_CONTROL_LEASE_HPP
#define CICADALUG_MEMBERSHIP_CONTROL_LEASE_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief Time settings of the control lease. */
struct control_settings {
    /** @brief Time without a renewal after which the lease expires on the platform. */
    milliseconds m_ttl{5'000};
    /** @brief Interval between renewals; two of them can be lost before the lease expires. */
    milliseconds m_renewal{1'500};
    /** @brief Interval between attempts to acquire the lease. */
    milliseconds m_retry{2'000};
    /**
     * @brief Delay between the attempts of candidates of consecutive rank, so that they do not all call the platform at
     * once.
     */
    milliseconds m_stagger{1'000};
};

/** @brief Phase of an entry VM with respect to the control lease of its zone. */
enum class control_phase : std::uint8_t {
    /** @brief Another entry VM holds the lease, or none does. */
    follower,
    /** @brief A lease was requested. */
    acquiring,
    /** @brief The control key is being written with the lease. */
    writing_key,
    /** @brief The key is written; the epochs of the owned records are being raised. */
    raising_epochs,
    /** @brief This entry VM holds control. */
    holding,
    /** @brief The process was paused; the control key is written again before any other step. */
    verifying_key,
};

/** @brief Action to perform; its result is reported by an event function with the same attempt. */
struct control_effect {
    enum class kind : std::uint8_t {
        /** @brief Request a lease; then on_lease_granted() or on_attempt_failed(). */
        grant_lease,
        /** @brief Write the control key with m_lease and m_expected; then on_key_written() or on_attempt_failed(). */
        write_key,
        /** @brief Raise the epoch of all owned records to m_epoch; then on_epochs_raised() or on_attempt_failed(). A
         * record with a higher epoch ends the attempt. */
        raise_epochs,
        /** @brief Renew m_lease; then on_lease_renewed() or, if the lease has expired, on_attempt_failed(). */
        renew_lease,
        /** @brief Revoke m_lease; there is no event. */
        revoke_lease,
        /** @brief Control begins with m_epoch. */
        control_begins,
        /** @brief Control ends. */
        control_ends,
    };

    kind m_kind{kind::grant_lease};
    std::uint64_t m_attempt{0};
    lease_id m_lease;
    version m_expected;
    epoch m_epoch;
    /**
     * @brief Time of the effect. The lease is counted from this time, because the platform counts from a later time.
     */
    time_point m_effect_time;
};

/** @brief State of the zone as seen by a candidate. */
struct control_inputs {
    /** @brief True if a reachable entry VM of the zone reports that it holds control. */
    bool m_other_holder{false};
    /** @brief Number of reachable entry VMs of the zone with a lower id. */
    int m_rank{0};
};

/**
 * @brief State of an entry VM with respect to the control lease of its zone. The epoch is the version of the write of
 * the control key: store-wide revisions increase monotonically, even if the key was deleted in between.
 */
struct control_state {
    control_settings m_settings;
    control_phase m_phase{control_phase::follower};
    /** @brief Number of the attempt; responses to earlier attempts are ignored. */
    std::uint64_t m_attempt{0};
    lease_id m_lease;
    version m_key_version;
    epoch m_epoch;
    /** @brief End of the lease by the local clock. It only makes the holder stop early; fencing relies on the epoch. */
    time_point m_lease_end;
    time_point m_next_renewal;
    /** @brief Time since which no holder is known. */
    time_point m_no_holder_since;
    time_point m_next_attempt;
};

using control_effects = std::vector<control_effect>;

/**
 * @brief Creates the state at process start. The first attempt waits for two heartbeat intervals, so that the heartbeat
 * of a current holder is received first.
 * @param settings Time settings.
 * @param now Time of the start.
 * @return The state, in phase follower.
 */
[[nodiscard]] auto make_control_state(const control_settings& settings, time_point now) -> control_state;

/**
 * @brief Returns whether the control loop is allowed to act: control is held and the lease has not expired by the local
 * clock.
 */
[[nodiscard]] auto holds_control(const control_state& state, time_point now) noexcept -> bool;

/** @brief Handles the passage of time: starts attempts, renews the lease, and ends control when the lease expires. */
[[nodiscard]] auto control_tick(control_state& state, const control_inputs& inputs, time_point now) -> control_effects;

/** @brief Handles a granted lease. */
[[nodiscard]] auto on_lease_granted(control_state& state, std::uint64_t attempt, const lease_id& lease, time_point now)
    -> control_effects;

/** @brief Handles a successful write of the control key, with the version of the write. */
[[nodiscard]] auto on_key_written(control_state& state, std::uint64_t attempt, version written, time_point now)
    -> control_effects;

/** @brief Handles the completion of raise_epochs: all owned records contain the epoch. */
[[nodiscard]] auto on_epochs_raised(control_state& state, std::uint64_t attempt, time_point now) -> control_effects;

/** @brief Handles a renewal of the lease that was requested at `requested_at`. */
auto on_lease_renewed(control_state& state, std::uint64_t attempt, time_point requested_at) -> void;

/** @brief Handles a step that failed permanently, or a record or control key that belongs to another holder. */
[[nodiscard]] auto on_attempt_failed(control_state& state, std::uint64_t attempt, time_point now) -> control_effects;

/** @brief Handles a pause of the process: control counts as lost until the control key was written again. */
[[nodiscard]] auto on_process_paused(control_state& state, time_point now) -> control_effects;

/** @brief Ends control and revokes the lease when the process stops. */
[[nodiscard]] auto release_control(control_state& state, time_point now) -> control_effects;

} // namespace cicadalug

#endif
