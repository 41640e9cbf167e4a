#include <cicadalug/adapter/operator_values.hpp>
#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/fleet_duty.hpp>
#include <cicadalug/entry/read_clocks.hpp>
#include <cicadalug/entry/signal_event.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Time for one call to the store or to the platform's interface. */
constexpr milliseconds call_timeout{700};

/** @brief The operator's waves are read this often. */
constexpr milliseconds wave_interval{1'000};

/** @brief VMs are listed this often: a tenth of a second more or less in seeing a move's end costs little. */
constexpr milliseconds list_interval{300};

/** @brief The demand of each pool is logged this often. */
constexpr milliseconds demand_log_interval{1'000};

/** @brief Moves and upkeeps are planned this often. */
constexpr milliseconds plan_interval{100};

/** @brief Prefix of the keys under which the progress of waves is kept. */
constexpr std::string_view upkeep_prefix{"upkeep/"};

[[nodiscard]] auto upkeep_key(const std::int64_t wave) -> std::string
{
    return std::string{upkeep_prefix} + std::to_string(wave);
}

/** @brief Key under which the fleet duty keeps what its successor has to know. */
constexpr std::string_view memory_key{"fleet-memory"};

/** @brief Difference between the clocks of two entry VMs that is allowed for. */
constexpr milliseconds clock_margin{300};

} // namespace

fleet_duty::fleet_duty(const fleet_duty_parts& parts, std::unique_ptr<fleet_client> fleet)
    : m_parts{parts}, m_fleet{std::move(fleet)}
{
}

auto fleet_duty::start() -> void
{
    asio::co_spawn(m_parts.m_executor, run(shared_from_this()), asio::detached);
}

auto fleet_duty::take_wave(const std::string& value) -> void
{
    auto order = decode_wave(value);
    if (!order) {
        LOG(ERROR) << log_line{"wave_unreadable"}.with("findings", order.assume_error().to_string());
        return;
    }
    const auto number = order.assume_value().m_wave;
    auto& wave = m_waves[number];
    wave.m_progress.m_request = std::move(order).assume_value();
}

auto fleet_duty::read_progress(const std::int64_t wave) -> asio::awaitable<bool>
{
    auto key = upkeep_key(wave);
    const auto read = co_await m_parts.m_store->read(std::move(key), call_timeout);
    if (read.m_status != store_status::ok && read.m_status != store_status::missing) {
        co_return false;
    }
    auto& open = m_waves[wave];
    open.m_loaded = true;
    const auto clock = read_clocks();
    const auto now_unix_ms = clock.m_unix_ms;

    open.m_began_unix_ms = now_unix_ms;
    if (read.m_status == store_status::ok) {
        std::istringstream text{read.m_item.m_value};
        std::string state;
        text >> state >> open.m_began_unix_ms;
        open.m_completed = state == "completed";
        open.m_status_written = true;
        for (std::string vm; text >> vm;) {
            open.m_progress.m_begun.emplace(vm);
        }
    }
    else {
        open.m_dirty = true;
        LOG(INFO) << log_line{"wave_began"}.with("wave", wave).with("vms", open.m_progress.m_request.m_vms.size());
    }
    open.m_progress.m_began = clock.m_now - milliseconds{std::max<std::int64_t>(0, now_unix_ms - open.m_began_unix_ms)};
    co_return true;
}

auto fleet_duty::read_waves() -> asio::awaitable<bool>
{
    const auto page = co_await m_parts.m_store->list_all(std::string{wave_prefix}, call_timeout);
    if (page.m_status != store_status::ok) {
        co_return false;
    }
    for (const auto& item : page.m_items) {
        take_wave(item.m_value);
    }
    std::vector<std::int64_t> unknown;
    for (const auto& [number, wave] : m_waves) {
        if (!wave.m_loaded) {
            unknown.push_back(number);
        }
    }
    for (const auto number : unknown) {
        const bool read = co_await read_progress(number);
        if (!read) {
            co_return false;
        }
    }
    co_return true;
}

auto fleet_duty::store_wave(const std::int64_t number) -> asio::awaitable<void>
{
    auto& wave = m_waves[number];
    std::ostringstream text;
    text << (wave.m_completed ? "completed " : "running ") << wave.m_began_unix_ms;
    for (const auto& vm : wave.m_progress.m_begun) {
        text << ' ' << vm;
    }
    store_write write;
    write.m_conditions.push_back({std::string{holder_key}, m_parts.m_term.m_revision});
    write.m_puts.push_back({upkeep_key(number), std::move(text).str(), no_store_lease});
    if (!wave.m_status_written || wave.m_completed) {
        write.m_puts.push_back({wave_status_key(number), encode_wave_status(wave.m_completed), no_store_lease});
    }
    wave.m_dirty = false;
    const auto written = co_await m_parts.m_store->write(std::move(write), call_timeout);
    auto& stored = m_waves[number];
    stored.m_dirty = stored.m_dirty || written.m_status != store_status::ok;
    stored.m_status_written = stored.m_status_written || written.m_status == store_status::ok;
}

auto fleet_duty::order_upkeep(const std::shared_ptr<fleet_duty> self, const std::int64_t number, const vm_id vm)
    -> asio::awaitable<void>
{
    const auto result = co_await m_fleet->begin_upkeep(vm, number, m_parts.m_term.m_token, call_timeout);
    m_ordered.erase(vm);
    if (!self->m_active) {
        co_return;
    }
    LOG(INFO)
        << log_line{"upkeep_ordered"}.with("wave", number).with("vm", vm).with("result", static_cast<int>(result));
    auto& progress = m_waves[number].m_progress;
    if (result == vm_command_result::fenced) {
        m_parts.m_state->m_deposed = true;
        m_parts.m_changed();
    }
    else if (result == vm_command_result::not_in_wave || result == vm_command_result::no_such_vm) {
        progress.m_begun.insert(vm);
        progress.m_down.erase(vm);
        m_waves[number].m_dirty = true;
    }
    const auto* listed = find_vm(m_vms, vm);
    const auto worker = listed == nullptr ? worker_id{} : listed->m_worker;
    if (result == vm_command_result::not_done) {
        progress.m_down.erase(vm);
        set_runs_ending(*m_parts.m_state, worker, false);
    }
    else if (result == vm_command_result::accepted) {
        progress.m_begun.insert(vm);
        progress.m_down[vm] = monotonic_now();
        m_waves[number].m_dirty = true;
        // The order is also accepted if the upkeep was done before: the list tells whether this worker has ended.
        co_await list_vms();
        if (self->m_active) {
            confirm_end(vm, worker);
        }
    }
}

auto fleet_duty::confirm_end(const vm_id& vm, const worker_id& worker) -> void
{
    const auto index = find_worker(*m_parts.m_state, worker);
    if (index == no_worker) {
        return;
    }
    if (is_still_up(m_vms, vm, worker)) {
        set_runs_ending(*m_parts.m_state, worker, false);
        m_parts.m_state->m_workers[static_cast<std::size_t>(index)].m_cordoned = false;
    }
    else {
        end_runs_of_worker(*m_parts.m_state, index, monotonic_now());
    }
    m_parts.m_changed();
}

auto fleet_duty::list_vms() -> asio::awaitable<void>
{
    auto listed = co_await m_fleet->list(call_timeout);
    if (listed) {
        m_vms = std::move(*listed);
        m_listed = monotonic_now();
    }
}

auto fleet_duty::order_move(const std::shared_ptr<fleet_duty> self, const move_command order) -> asio::awaitable<void>
{
    const auto result = co_await m_fleet->move(order.m_vm, order.m_target, m_parts.m_term.m_token, call_timeout);
    if (!self->m_active) {
        co_return;
    }
    LOG(INFO) << log_line{"move_ordered"}
                     .with("vm", order.m_vm)
                     .with("pool", order.m_target)
                     .with("result", static_cast<int>(result));
    if (result == vm_command_result::fenced) {
        m_parts.m_state->m_deposed = true;
    }
    apply_move_result(*m_parts.m_state, m_moves, order, result, monotonic_now());
    m_parts.m_changed();
}

auto fleet_duty::advance_moves() -> void
{
    const auto now = monotonic_now();
    const auto config = m_parts.m_config();
    std::set<service_id> standby;
    if (config != nullptr) {
        for (const auto& service : config->m_services) {
            if (service.m_standby) {
                standby.insert(service.m_id);
            }
        }
        record_own_capacity(m_demand, m_vms, standby);
    }
    update_demand(m_demand, *m_parts.m_state, now);
    if (config == nullptr || !m_parts.m_may_order() || m_vms.empty()) {
        return;
    }
    if (now - m_logged >= demand_log_interval) {
        m_logged = now;
        for (const auto& [service, known] : m_demand.m_services) {
            const auto ready = std::count_if(m_parts.m_state->m_workers.begin(), m_parts.m_state->m_workers.end(),
                                             [&service = service](const worker_slot& worker) {
                                                 return worker.m_registered && !worker.m_cordoned &&
                                                        worker.m_entry.m_service == service;
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
    m_planned_moves = plan_moves(*m_parts.m_state, m_demand, m_parts.m_moves, m_moves, m_vms, standby, reserved, now);
}

auto fleet_duty::read_memory() -> asio::awaitable<bool>
{
    const auto read = co_await m_parts.m_store->read(std::string{memory_key}, call_timeout);
    if (read.m_status != store_status::ok) {
        co_return read.m_status == store_status::missing;
    }
    auto decoded = decode_saved_fleet_state(read.m_item.m_value);
    if (!decoded) {
        LOG(ERROR) << log_line{"fleet_memory_unreadable"}.with("findings", decoded.assume_error().to_string());
        co_return true;
    }
    m_memory = std::move(decoded).assume_value();
    m_earlier_orders = std::exchange(m_memory.m_commands, {});
    m_demand = restore_demand(m_memory, read_clocks());
    m_remembered_surge = m_demand.m_last_surge_begin;
    co_return true;
}

auto fleet_duty::store_memory() -> asio::awaitable<bool>
{
    const auto clock = read_clocks();
    std::erase_if(m_memory.m_commands, [this, &clock](const saved_vm_command& order) {
        return clock.m_unix_ms - order.m_unix_ms > m_parts.m_duty_interval.count();
    });
    save_demand(m_memory, m_demand, clock);
    m_remembered_surge = m_demand.m_last_surge_begin;
    store_write write;
    write.m_conditions.push_back({std::string{holder_key}, m_parts.m_term.m_revision});
    write.m_puts.push_back({std::string{memory_key}, encode(m_memory), no_store_lease});
    const auto written = co_await m_parts.m_store->write(std::move(write), call_timeout);
    co_return written.m_status == store_status::ok;
}

auto fleet_duty::recently_ordered(const clock_reading& clock) const -> std::set<vm_id>
{
    std::set<vm_id> recent;
    for (const auto& order : m_earlier_orders) {
        if (clock.m_unix_ms - order.m_unix_ms < (m_parts.m_duty_interval + clock_margin).count()) {
            recent.insert(order.m_vm);
        }
    }
    return recent;
}

auto fleet_duty::reserved_vms(const clock_reading& clock) const -> std::set<vm_id>
{
    auto reserved = recently_ordered(clock);
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

auto fleet_duty::remember_order(const vm_id& vm) -> void
{
    m_memory.m_commands.push_back({vm, read_clocks().m_unix_ms});
}

auto fleet_duty::send_orders() -> asio::awaitable<void>
{
    auto moves = std::exchange(m_planned_moves, {});
    auto upkeeps = std::exchange(m_planned_upkeeps, {});
    const bool learned = m_demand.m_last_surge_begin != m_remembered_surge;
    if (moves.empty() && upkeeps.empty() && !learned) {
        co_return;
    }
    for (const auto& order : moves) {
        remember_order(order.m_vm);
    }
    for (const auto& [number, vm] : upkeeps) {
        remember_order(vm);
    }
    // Stored first: a decider that takes over leaves these VMs alone, and one that lost its term orders nothing.
    const bool stored = co_await store_memory();
    if (!m_active) {
        co_return;
    }
    for (auto& order : moves) {
        if (stored) {
            asio::co_spawn(m_parts.m_executor, order_move(shared_from_this(), std::move(order)), asio::detached);
        }
        else {
            apply_move_result(*m_parts.m_state, m_moves, order, vm_command_result::not_done, monotonic_now());
        }
    }
    for (auto& [number, vm] : upkeeps) {
        if (stored) {
            asio::co_spawn(m_parts.m_executor, order_upkeep(shared_from_this(), number, vm), asio::detached);
        }
        else {
            m_ordered.erase(vm);
        }
    }
}

auto fleet_duty::advance_waves() -> void
{
    const auto clock = read_clocks();
    const auto busy = recently_ordered(clock);
    for (auto& [number, wave] : m_waves) {
        if (!wave.m_loaded || wave.m_completed) {
            continue;
        }
        if (m_parts.m_may_order()) {
            static_cast<void>(
                plan_maintenance(*m_parts.m_state, m_parts.m_upkeep, wave.m_progress, m_vms, busy, clock.m_now));
            for (const auto& [vm, since] : wave.m_progress.m_down) {
                // An order without an answer is repeated; it is carried out once.
                if (!wave.m_progress.m_begun.contains(vm) && m_ordered.insert(vm).second) {
                    m_planned_upkeeps.emplace_back(number, vm);
                }
            }
        }
        log_blocked(number, wave.m_progress);
        if (is_wave_completed(wave.m_progress)) {
            wave.m_completed = true;
            wave.m_dirty = true;
            LOG(INFO) << log_line{"wave_completed"}.with("wave", number);
        }
    }
}

auto fleet_duty::log_blocked(const std::int64_t number, const wave_progress_state& wave) const -> void
{
    const auto& ordered = wave.m_request.m_vms;
    for (const auto& vm : m_vms) {
        if (wave.m_begun.contains(vm.m_vm) || wave.m_down.contains(vm.m_vm) ||
            std::find(ordered.begin(), ordered.end(), vm.m_vm) == ordered.end()) {
            continue;
        }
        const auto task = blocking_task(*m_parts.m_state, vm.m_worker);
        if (task) {
            std::ostringstream members;
            for (std::int64_t index = 0;; ++index) {
                const auto* member =
                    find_task(*m_parts.m_state, {task->m_job, task->m_occurrence, task->m_step, index});
                if (member == nullptr) {
                    break;
                }
                members << static_cast<int>(member->m_phase) << ':' << member->m_percent << ' ';
            }
            LOG_EVERY_N(INFO, 10) << log_line{"upkeep_blocked"}
                                         .with("wave", number)
                                         .with("vm", vm.m_vm)
                                         .with("request", task->m_job)
                                         .with("step", task->m_step)
                                         .with("tasks", members.str());
        }
    }
}

auto fleet_duty::run(const std::shared_ptr<fleet_duty> self) -> asio::awaitable<void>
{
    for (bool remembered = false; self->m_active && !remembered;) {
        remembered = co_await read_memory();
        if (!remembered) {
            co_await sleep_for(m_parts.m_executor, plan_interval);
        }
    }
    auto waves_read = time_point{};
    while (self->m_active) {
        if (monotonic_now() - waves_read >= wave_interval) {
            static_cast<void>(co_await read_waves());
            waves_read = monotonic_now();
        }

        if (monotonic_now() - m_listed >= list_interval) {
            co_await list_vms();
        }
        if (self->m_active) {
            advance_waves();
            advance_moves();
            co_await send_orders();
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
        co_await sleep_for(m_parts.m_executor, plan_interval);
    }
}

} // namespace cicadalug
