#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/async/spawn.hpp>
#include <cicadalug/entry/decider_times.hpp>
#include <cicadalug/entry/fleet_controller.hpp>
#include <cicadalug/entry/read_clocks.hpp>
#include <cicadalug/entry/signal_event.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/stored_wave_progress.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cicadalug {

namespace {

using internal::fleet_call_timeout;
using internal::to_ms;

/** @brief Interval at which the operator's maintenance waves are read. */
constexpr milliseconds wave_interval{1'000};

/** @brief Interval at which the VMs are listed; a tenth of a second in detecting the end of a move costs little. */
constexpr milliseconds list_interval{300};

/** @brief Interval at which the demand of each pool is logged. */
constexpr milliseconds demand_log_interval{1'000};

/** @brief Interval at which moves and maintenance are planned. */
constexpr milliseconds plan_interval{100};

/** @brief The VMs are listed this long after the maintenance of one should have ended. */
constexpr milliseconds maintenance_end_slack{20};

/** @brief Key of the state that the next decider's fleet controller restores. */
constexpr std::string_view saved_state_key{"fleet-memory"};

/** @brief Tolerated difference between the clocks of two entry VMs. */
constexpr milliseconds clock_margin{300};

} // namespace

fleet_controller::fleet_controller(const fleet_controller_dependencies& dependencies,
                                   std::unique_ptr<fleet_client> fleet)
    : m_dependencies{dependencies}, m_fleet{std::move(fleet)}
{
}

auto fleet_controller::start() -> void
{
    run_in_term(run(shared_from_this()), "fleet_controller");
}

auto fleet_controller::run_in_term(asio::awaitable<void> coroutine, const std::string_view name) -> void
{
    spawn(m_dependencies.m_executor, std::move(coroutine), name, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self != nullptr && self->m_active) {
            self->m_dependencies.m_state->m_deposed = true;
            self->m_dependencies.m_on_change();
        }
    });
}

auto fleet_controller::send_maintenance(const std::shared_ptr<fleet_controller> self, const maintenance_command command)
    -> asio::awaitable<void>
{
    const auto number = command.m_wave;
    const auto& vm = command.m_vm;
    const auto result =
        co_await m_fleet->begin_maintenance(vm, number, m_dependencies.m_term.m_token, fleet_call_timeout);
    m_pending_maintenance.erase(vm);
    if (!self->m_active) {
        co_return;
    }
    LOG(INFO)
        << log_line{"upkeep_ordered"}.with("wave", number).with("vm", vm).with("result", static_cast<int>(result));
    if (result == vm_command_result::unknown) {
        m_unanswered_maintenance.insert(vm);
        co_return;
    }
    m_unanswered_maintenance.erase(vm);
    const auto answered = monotonic_now();
    auto& wave = m_waves[number];
    apply_maintenance_result(*m_dependencies.m_state, wave.m_progress, vm, command.m_worker, result, answered);
    wave.m_dirty = wave.m_dirty || wave.m_progress.m_begun.contains(vm) || wave.m_progress.m_excluded.contains(vm);
    m_dependencies.m_on_change();
    if (result == vm_command_result::accepted) {
        // The command is also accepted if the maintenance was done before; the list shows whether this worker has
        // ended.
        m_unconfirmed_ends[vm] = {number, command.m_worker, answered};
        // In a wave, commands are accepted in quick succession; they share a list, which has several pages.
        m_list_requested = true;
    }
}

auto fleet_controller::confirm_ends() -> void
{
    auto& state = *m_dependencies.m_state;
    bool changed{false};
    for (auto end = m_unconfirmed_ends.begin(); end != m_unconfirmed_ends.end();) {
        const auto& [number, worker, accepted] = end->second;
        const auto presence = worker_presence_after(m_vms, end->first, worker, accepted);
        if (presence == worker_presence::unknown) {
            ++end;
            continue;
        }
        const auto index = find_worker(state, worker);
        if (presence == worker_presence::up) {
            end_maintenance(m_waves[number].m_progress, end->first);
        }
        if (index != no_worker && presence == worker_presence::up) {
            set_runs_ending(state, worker, false);
            state.m_workers[static_cast<std::size_t>(index)].m_cordoned = false;
        }
        else if (index != no_worker) {
            end_runs_of_worker(state, index, monotonic_now());
        }
        changed = changed || index != no_worker;
        end = m_unconfirmed_ends.erase(end);
    }
    if (changed) {
        m_dependencies.m_on_change();
    }
}

auto fleet_controller::list_vms() -> asio::awaitable<void>
{
    const auto requested = monotonic_now();
    auto listed = co_await m_fleet->list(fleet_call_timeout);
    if (!m_active) {
        co_return;
    }
    const auto now = monotonic_now();
    if (!listed) {
        LOG_EVERY_N(WARNING, 10) << log_line{"vms_not_listed"}
                                        .with("took_ms", to_ms(now - requested))
                                        .with("list_age_ms", m_vms.m_vms.empty() ? -1 : to_ms(now - m_vms.m_requested));
        co_return;
    }
    update_vm_list(m_vms, std::move(*listed), requested);
    m_last_listing = now;
    confirm_ends();
}

auto fleet_controller::send_move(const std::shared_ptr<fleet_controller> self, const move_command command)
    -> asio::awaitable<void>
{
    const auto result =
        co_await m_fleet->move(command.m_vm, command.m_target, m_dependencies.m_term.m_token, fleet_call_timeout);
    if (!self->m_active) {
        co_return;
    }
    LOG(INFO) << log_line{"move_ordered"}
                     .with("vm", command.m_vm)
                     .with("pool", command.m_target)
                     .with("result", static_cast<int>(result));
    if (result == vm_command_result::fenced) {
        m_dependencies.m_state->m_deposed = true;
    }
    apply_move_result(*m_dependencies.m_state, m_moves, command, result, monotonic_now());
    m_dependencies.m_on_change();
}

auto fleet_controller::advance_moves() -> void
{
    const auto now = monotonic_now();
    const auto config = m_dependencies.m_config();
    std::set<service_id> standby;
    if (config != nullptr) {
        for (const auto& service : config->m_services) {
            if (service.m_standby) {
                standby.insert(service.m_id);
            }
        }
        record_own_capacity(m_demand, m_vms.m_vms, standby);
    }
    update_demand(m_demand, *m_dependencies.m_state, now);
    if (config == nullptr || !m_dependencies.m_can_send_commands()) {
        return;
    }
    if (now - m_last_demand_log >= demand_log_interval) {
        m_last_demand_log = now;
        for (const auto& [service, known] : m_demand.m_services) {
            const auto ready = std::count_if(
                m_dependencies.m_state->m_workers.begin(), m_dependencies.m_state->m_workers.end(),
                [&service = service](const worker_slot& worker) {
                    return worker.m_registered && !worker.m_cordoned && worker.m_entry.m_service == service;
                });
            LOG(INFO) << log_line{"pool_demand"}
                             .with("pool", service)
                             .with("workers", ready)
                             .with("rate_cores", std::lround(known.m_rate_cores))
                             .with("ready_core_s",
                                   std::lround((known.m_ready_core_ms + known.m_late_ready_core_ms) / 1'000.0))
                             .with("lasting_cores", std::lround(known.m_long_running_cores))
                             .with("wanted_cores", std::lround(target_cores(m_demand, service, now)))
                             .with("expected", known.m_expected_surge.has_value());
        }
    }
    const auto reserved = reserved_vms(read_clocks());
    m_planned_moves =
        plan_moves(*m_dependencies.m_state, m_demand, m_dependencies.m_moves, m_moves, m_vms, standby, reserved, now);
}

auto fleet_controller::restore_state() -> asio::awaitable<bool>
{
    const auto read = co_await m_dependencies.m_store->read(std::string{saved_state_key}, fleet_call_timeout);
    if (read.m_status != store_status::ok) {
        co_return read.m_status == store_status::missing;
    }
    auto decoded = decode_saved_fleet_state(read.m_item.m_value);
    if (!decoded) {
        LOG(ERROR) << log_line{"fleet_memory_unreadable"}.with("findings", decoded.assume_error().to_string());
        co_return true;
    }
    m_saved_state = std::move(decoded).assume_value();
    m_earlier_commands = std::exchange(m_saved_state.m_commands, {});
    m_demand = restore_demand(m_saved_state, read_clocks());
    m_saved_surge = m_demand.m_last_surge_begin;
    co_return true;
}

auto fleet_controller::save_state(const std::set<std::int64_t>& commanded_waves) -> asio::awaitable<bool>
{
    const auto clock = read_clocks();
    std::erase_if(m_saved_state.m_commands, [this, &clock](const saved_vm_command& command) {
        return clock.m_unix_ms - command.m_unix_ms > m_dependencies.m_handover_interval.count();
    });
    save_demand(m_saved_state, m_demand, clock);
    m_saved_surge = m_demand.m_last_surge_begin;
    store_write write;
    write.m_conditions.push_back({std::string{holder_key}, m_dependencies.m_term.m_revision});
    write.m_puts.push_back({std::string{saved_state_key}, encode(m_saved_state), no_store_lease});
    for (const auto number : commanded_waves) {
        const auto& wave = m_waves.at(number);
        write.m_puts.push_back({wave_progress_key(number),
                                encode(save_progress(wave.m_progress, wave.m_completed, wave.m_began_unix_ms)),
                                no_store_lease});
    }
    const auto written = co_await m_dependencies.m_store->write(std::move(write), fleet_call_timeout);
    co_return written.m_status == store_status::ok;
}

auto fleet_controller::recently_commanded(const clock_reading& clock) const -> std::set<vm_id>
{
    std::set<vm_id> recent;
    for (const auto& command : m_earlier_commands) {
        if (clock.m_unix_ms - command.m_unix_ms < (m_dependencies.m_handover_interval + clock_margin).count()) {
            recent.insert(command.m_vm);
        }
    }
    return recent;
}

auto fleet_controller::reserved_vms(const clock_reading& clock) const -> std::set<vm_id>
{
    auto reserved = recently_commanded(clock);
    for (const auto& [number, wave] : m_waves) {
        for (const auto& [vm, since] : wave.m_progress.m_cordoned) {
            reserved.insert(vm);
        }
        for (const auto& [vm, since] : wave.m_progress.m_down) {
            reserved.insert(vm);
        }
    }
    return reserved;
}

auto fleet_controller::record_command(const vm_id& vm) -> void
{
    m_saved_state.m_commands.push_back({vm, read_clocks().m_unix_ms});
}

auto fleet_controller::send_commands() -> asio::awaitable<void>
{
    auto moves = std::exchange(m_planned_moves, {});
    auto maintenance = std::exchange(m_planned_maintenance, {});
    const bool has_new_surge = m_demand.m_last_surge_begin != m_saved_surge;
    if (moves.empty() && maintenance.empty() && !has_new_surge) {
        co_return;
    }
    for (const auto& command : moves) {
        record_command(command.m_vm);
    }
    std::set<std::int64_t> commanded_waves;
    for (const auto& command : maintenance) {
        record_command(command.m_vm);
        commanded_waves.insert(command.m_wave);
    }
    // The commands are stored before they are sent: a decider that takes over then sends none for these VMs, and one
    // that has lost its term fails to store them and sends none at all.
    const bool stored = co_await save_state(commanded_waves);
    if (!m_active) {
        co_return;
    }
    // The write may have taken long enough for another decider to begin, or for the list of VMs to change.
    const bool sendable = stored && m_dependencies.m_can_send_commands() && is_current(m_vms, monotonic_now());
    if (!sendable && !(moves.empty() && maintenance.empty())) {
        LOG(WARNING) << log_line{"vm_commands_not_sent"}
                            .with("moves", moves.size())
                            .with("maintenance", maintenance.size())
                            .with("stored", stored);
    }
    for (auto& command : moves) {
        if (sendable) {
            run_in_term(send_move(shared_from_this(), std::move(command)), "send_move");
        }
        else {
            apply_move_result(*m_dependencies.m_state, m_moves, command, vm_command_result::not_done, monotonic_now());
        }
    }
    for (auto& command : maintenance) {
        if (sendable) {
            run_in_term(send_maintenance(shared_from_this(), std::move(command)), "send_maintenance");
            continue;
        }
        m_pending_maintenance.erase(command.m_vm);
        if (!m_unanswered_maintenance.contains(command.m_vm)) {
            withdraw_maintenance(*m_dependencies.m_state, m_waves[command.m_wave].m_progress, command.m_vm,
                                 command.m_worker);
        }
    }
}

auto fleet_controller::is_list_due(const time_point now) const -> bool
{
    if (now - m_last_listing < plan_interval) {
        return false;
    }
    // The next VM of a wave waits for the one that comes up.
    const auto has_ended = [this, now](const auto& wave) {
        const auto end = next_maintenance_end(wave.second.m_progress, m_dependencies.m_maintenance.m_maintenance_time,
                                              m_vms.m_requested);
        return end && *end < now;
    };
    return now - m_last_listing >= list_interval || std::any_of(m_waves.begin(), m_waves.end(), has_ended);
}

auto fleet_controller::pause_until_next_plan() -> asio::awaitable<void>
{
    const auto now = monotonic_now();
    auto until = now + plan_interval;
    for (const auto& [number, wave] : m_waves) {
        if (const auto end =
                next_maintenance_end(wave.m_progress, m_dependencies.m_maintenance.m_maintenance_time, now)) {
            until = std::min(until, std::max(*end + maintenance_end_slack, m_last_listing + plan_interval));
        }
    }
    co_await sleep_for(m_dependencies.m_executor, until - now);
}

auto fleet_controller::run(const std::shared_ptr<fleet_controller> self) -> asio::awaitable<void>
{
    for (bool restored = false; self->m_active && !restored;) {
        restored = co_await restore_state();
        if (!restored) {
            co_await sleep_for(m_dependencies.m_executor, plan_interval);
        }
    }
    auto waves_read = time_point{};
    while (self->m_active) {
        if (monotonic_now() - waves_read >= wave_interval) {
            static_cast<void>(co_await read_waves());
            waves_read = monotonic_now();
        }

        if (m_list_requested || is_list_due(monotonic_now())) {
            m_list_requested = false;
            co_await list_vms();
        }
        if (self->m_active) {
            advance_waves();
            advance_moves();
            co_await send_commands();
        }
        std::vector<std::int64_t> dirty;
        for (const auto& [number, wave] : m_waves) {
            if (wave.m_dirty && wave.m_loaded) {
                dirty.push_back(number);
            }
        }
        for (const auto number : dirty) {
            co_await store_wave(number);
        }
        co_await pause_until_next_plan();
    }
}

} // namespace cicadalug
