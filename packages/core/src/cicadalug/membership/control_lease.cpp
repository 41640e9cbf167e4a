#include <cicadalug/membership/control_lease.hpp>
#include <cicadalug/membership/membership_state.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

[[nodiscard]] auto make_effect(const control_state& state, const control_effect::kind kind, const time_point now)
    -> control_effect
{
    return {kind, state.m_attempt, state.m_lease, state.m_key_version, state.m_epoch, now};
}

/** @brief Returns to phase follower and invalidates the responses to the attempt. */
[[nodiscard]] auto end_attempt(control_state& state, const time_point now) -> control_effects
{
    control_effects effects;
    if (state.m_phase == control_phase::holding) {
        effects.push_back(make_effect(state, control_effect::kind::control_ends, now));
    }
    if (!state.m_lease.empty()) {
        effects.push_back(make_effect(state, control_effect::kind::revoke_lease, now));
    }
    state.m_phase = control_phase::follower;
    ++state.m_attempt;
    state.m_lease = lease_id{};
    state.m_key_version = version{};
    state.m_epoch = epoch{};
    state.m_no_holder_since = now;
    state.m_next_attempt = now + state.m_settings.m_retry;
    return effects;
}

[[nodiscard]] auto tick_follower(control_state& state, const control_inputs& inputs, const time_point now)
    -> control_effects
{
    if (inputs.m_other_holder) {
        state.m_no_holder_since = now;
        return {};
    }
    if (now < state.m_next_attempt || now < state.m_no_holder_since + inputs.m_rank * state.m_settings.m_stagger) {
        return {};
    }
    state.m_phase = control_phase::acquiring;
    ++state.m_attempt;
    state.m_next_attempt = now + state.m_settings.m_retry;
    state.m_lease_end = now + state.m_settings.m_ttl;
    return {make_effect(state, control_effect::kind::grant_lease, now)};
}

} // namespace

auto make_control_state(const control_settings& settings, const time_point now) -> control_state
{
    control_state state;
    state.m_settings = settings;
    state.m_no_holder_since = now;
    state.m_next_attempt = now + 2 * heartbeat_interval + milliseconds{100};
    return state;
}

auto holds_control(const control_state& state, const time_point now) noexcept -> bool
{
    return state.m_phase == control_phase::holding && now < state.m_lease_end;
}

auto control_tick(control_state& state, const control_inputs& inputs, const time_point now) -> control_effects
{
    if (state.m_phase == control_phase::follower) {
        return tick_follower(state, inputs, now);
    }
    if (now >= state.m_lease_end) {
        return end_attempt(state, now);
    }
    if (!state.m_lease.empty() && now >= state.m_next_renewal) {
        state.m_next_renewal = now + state.m_settings.m_renewal;
        return {make_effect(state, control_effect::kind::renew_lease, now)};
    }
    return {};
}

auto on_lease_granted(control_state& state, const std::uint64_t attempt, const lease_id& lease, const time_point now)
    -> control_effects
{
    if (attempt != state.m_attempt || state.m_phase != control_phase::acquiring) {
        return {};
    }
    state.m_phase = control_phase::writing_key;
    state.m_lease = lease;
    state.m_key_version = version{};
    state.m_next_renewal = now + state.m_settings.m_renewal;
    return {make_effect(state, control_effect::kind::write_key, now)};
}

auto on_key_written(control_state& state, const std::uint64_t attempt, const version written, const time_point now)
    -> control_effects
{
    if (attempt != state.m_attempt) {
        return {};
    }
    if (state.m_phase == control_phase::writing_key) {
        state.m_phase = control_phase::raising_epochs;
        state.m_key_version = written;
        state.m_epoch = epoch{written.value()};
        return {make_effect(state, control_effect::kind::raise_epochs, now)};
    }
    if (state.m_phase == control_phase::verifying_key) {
        // The key still existed with the known version, so there was no other holder in between.
        state.m_phase = control_phase::holding;
        state.m_key_version = written;
        return {make_effect(state, control_effect::kind::control_begins, now)};
    }
    return {};
}

auto on_epochs_raised(control_state& state, const std::uint64_t attempt, const time_point now) -> control_effects
{
    if (attempt != state.m_attempt || state.m_phase != control_phase::raising_epochs) {
        return {};
    }
    state.m_phase = control_phase::holding;
    return {make_effect(state, control_effect::kind::control_begins, now)};
}

auto on_lease_renewed(control_state& state, const std::uint64_t attempt, const time_point requested_at) -> void
{
    if (attempt == state.m_attempt && !state.m_lease.empty()) {
        state.m_lease_end = std::max(state.m_lease_end, requested_at + state.m_settings.m_ttl);
    }
}

auto on_attempt_failed(control_state& state, const std::uint64_t attempt, const time_point now) -> control_effects
{
    if (attempt != state.m_attempt || state.m_phase == control_phase::follower) {
        return {};
    }
    return end_attempt(state, now);
}

auto on_process_paused(control_state& state, const time_point now) -> control_effects
{
    switch (state.m_phase) {
    case control_phase::follower:
        state.m_no_holder_since = now;
        return {};
    case control_phase::holding: {
        auto ended = make_effect(state, control_effect::kind::control_ends, now);
        state.m_phase = control_phase::verifying_key;
        ++state.m_attempt;
        // After a pause the end by the local clock is invalid; the platform decides whether the lease still exists.
        state.m_lease_end = now + state.m_settings.m_ttl;
        state.m_next_renewal = now + state.m_settings.m_renewal;
        return {ended, make_effect(state, control_effect::kind::write_key, now)};
    }
    case control_phase::acquiring:
    case control_phase::writing_key:
    case control_phase::raising_epochs:
    case control_phase::verifying_key:
        break;
    }
    return end_attempt(state, now);
}

auto release_control(control_state& state, const time_point now) -> control_effects
{
    return state.m_phase == control_phase::follower ? control_effects{} : end_attempt(state, now);
}

} // namespace cicadalug
