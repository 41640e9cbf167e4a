#ifndef CICADALUG_MEMBERSHIP_CONTROL_LEASE_HPP
#define CICADALUG_MEMBERSHIP_CONTROL_LEASE_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief Times of the control lease. */
struct control_settings {
    /** @brief Time without a renewal after which the platform ends the lease. */
    milliseconds m_ttl{5'000};
    /** @brief Time between two renewals: two may be lost before the lease ends. */
    milliseconds m_renewal{1'500};
    /** @brief Time between two attempts to get the lease. */
    milliseconds m_retry{2'000};
    /** @brief Lead that each candidate has over the next one, so that they do not all call the platform at once. */
    milliseconds m_stagger{1'000};
};

/** @brief Where an entry VM stands with the control lease of its zone. */
enum class control_phase : std::uint8_t {
    /** @brief Another entry VM holds it, or no one. */
    follower,
    /** @brief A lease was asked for. */
    acquiring,
    /** @brief The control key is being written with the lease. */
    writing,
    /** @brief The key is written; the epochs of the owned records are being raised. */
    raising,
    /** @brief Holds control. */
    holding,
    /** @brief The process was paused: the control key is written again before anything else. */
    verifying,
};

/** @brief What has to be done next; the answer comes back as an event with the same attempt. */
struct control_effect {
    enum class kind : std::uint8_t {
        /** @brief Ask for a lease; then on_lease_granted() or on_attempt_failed(). */
        grant_lease,
        /** @brief Write the control key with m_lease and m_expected; then on_key_written() or on_attempt_failed(). */
        write_key,
        /** @brief Raise the epoch of all owned records to m_epoch; then on_epochs_raised() or on_attempt_failed(). A
         * record with a higher epoch ends the attempt. */
        raise_epochs,
        /** @brief Renew m_lease; then renewed() or, if the lease has ended, on_attempt_failed(). */
        renew_lease,
        /** @brief Give m_lease back; there is no event. */
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
    /** @brief Time of the effect; the lease runs from here, because the platform counts from a later moment. */
    time_point m_effect_time;
};

/** @brief What a candidate knows about its zone. */
struct control_inputs {
    /** @brief True if a reachable entry VM of the zone says that it holds control. */
    bool m_other_holder{false};
    /** @brief Number of reachable entry VMs of the zone with a lower id. */
    int m_rank{0};
};

/**
 * @brief State of an entry VM with the control lease of its zone. The epoch is the version of the write of the control
 * key: store-wide revisions only rise, also when the key was deleted in between.
 */
struct control_state {
    control_settings m_settings;
    control_phase m_phase{control_phase::follower};
    /** @brief Number of the attempt; answers to earlier ones are ignored. */
    std::uint64_t m_attempt{0};
    lease_id m_lease;
    version m_key_version;
    epoch m_epoch;
    /** @brief End of the lease by the own clock. Only a reason to stop early; the fence is the epoch. */
    time_point m_lease_end;
    time_point m_next_renewal;
    /** @brief Time since which no holder is known. */
    time_point m_vacant_since;
    time_point m_next_attempt;
};

using control_effects = std::vector<control_effect>;

/**
 * @brief Makes the state at the start of a process. The first attempt waits for two heartbeats, so that a holder is
 * heard.
 * @param settings Times.
 * @param now Time of the start.
 * @return A follower.
 */
[[nodiscard]] auto make_control_state(const control_settings& settings, time_point now) -> control_state;

/** @brief Tells whether the control loop may act: control is held and the lease has not ended by the own clock. */
[[nodiscard]] auto holds_control(const control_state& state, time_point now) noexcept -> bool;

/** @brief Lets time pass: attempts, renewals, the end of the lease. */
[[nodiscard]] auto control_tick(control_state& state, const control_inputs& situation, time_point now)
    -> control_effects;

/** @brief The lease was granted. */
[[nodiscard]] auto on_lease_granted(control_state& state, std::uint64_t attempt, const lease_id& lease, time_point now)
    -> control_effects;

/** @brief The control key was written at a version. */
[[nodiscard]] auto on_key_written(control_state& state, std::uint64_t attempt, version written, time_point now)
    -> control_effects;

/** @brief All owned records carry the epoch. */
[[nodiscard]] auto on_epochs_raised(control_state& state, std::uint64_t attempt, time_point now) -> control_effects;

/** @brief The lease was renewed by a call that was made at `asked`. */
auto on_lease_renewed(control_state& state, std::uint64_t attempt, time_point asked) -> void;

/** @brief A step failed for good, or a record or the control key turned out to belong to another holder. */
[[nodiscard]] auto on_attempt_failed(control_state& state, std::uint64_t attempt, time_point now) -> control_effects;

/** @brief The process was paused: control counts as lost until the control key was written again. */
[[nodiscard]] auto on_process_paused(control_state& state, time_point now) -> control_effects;

/** @brief The process stops: gives the lease back. */
[[nodiscard]] auto release_control(control_state& state, time_point now) -> control_effects;

} // namespace cicadalug

#endif
