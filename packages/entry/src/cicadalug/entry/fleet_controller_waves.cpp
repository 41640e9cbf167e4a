#include <cicadalug/adapter/operator_values.hpp>
#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/decider_times.hpp>
#include <cicadalug/entry/fleet_controller.hpp>
#include <cicadalug/entry/read_clocks.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/stored_wave_progress.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace cicadalug {

namespace {

using internal::fleet_call_timeout;

} // namespace

auto fleet_controller::apply_wave(const std::string& value) -> void
{
    auto request = decode_wave(value);
    if (!request) {
        LOG(ERROR) << log_line{"wave_unreadable"}.with("findings", request.assume_error().to_string());
        return;
    }
    const auto number = request.assume_value().m_wave;
    auto& wave = m_waves[number];
    wave.m_withdrawn = false;
    if (!wave.m_loaded) {
        wave.m_progress.m_request = std::move(request).assume_value();
    }
    else if (wave.m_progress.m_request != request.assume_value()) {
        const auto clock = read_clocks();
        change_request(wave.m_progress, std::move(request).assume_value(), clock.m_now);
        wave.m_began_unix_ms = clock.m_unix_ms;
        wave.m_dirty = true;
        LOG(INFO) << log_line{"wave_changed"}
                         .with("wave", number)
                         .with("vms", wave.m_progress.m_request.m_vms.size())
                         .with("concurrency", wave.m_progress.m_request.m_concurrency);
    }
}

auto fleet_controller::withdraw_waves(const std::vector<store_item>& waves) -> void
{
    for (auto& [number, wave] : m_waves) {
        const auto key = std::string{wave_prefix} + std::to_string(number);
        const bool requested =
            std::any_of(waves.begin(), waves.end(), [&key](const store_item& item) { return item.m_key == key; });
        if (requested || wave.m_withdrawn) {
            continue;
        }
        LOG(INFO) << log_line{"wave_withdrawn"}.with("wave", number);
        wave.m_withdrawn = true;
        change_request(wave.m_progress, {number, {}, {}, 1}, monotonic_now());
    }
}

auto fleet_controller::read_progress(const std::int64_t wave) -> asio::awaitable<bool>
{
    auto key = wave_progress_key(wave);
    const auto read = co_await m_dependencies.m_store->read(std::move(key), fleet_call_timeout);
    if (read.m_status != store_status::ok && read.m_status != store_status::missing) {
        co_return false;
    }
    auto& open = m_waves[wave];
    open.m_loaded = true;
    const auto clock = read_clocks();
    open.m_progress.m_read = clock.m_now;
    const auto now_unix_ms = clock.m_unix_ms;

    open.m_began_unix_ms = now_unix_ms;
    if (read.m_status == store_status::ok) {
        const auto stored = decode_wave_progress(read.m_item.m_value);
        restore_progress(open.m_progress, stored);
        open.m_began_unix_ms = stored.m_began_unix_ms;
        open.m_completed = stored.m_completed;
        // The progress is also stored with commands, before the first status.
        open.m_status_written = open.m_completed;
        open.m_dirty = !open.m_completed;
    }
    else {
        open.m_dirty = true;
        LOG(INFO) << log_line{"wave_began"}.with("wave", wave).with("vms", open.m_progress.m_request.m_vms.size());
    }
    open.m_progress.m_began = clock.m_now - milliseconds{std::max<std::int64_t>(0, now_unix_ms - open.m_began_unix_ms)};
    co_return true;
}

auto fleet_controller::read_waves() -> asio::awaitable<bool>
{
    const auto status =
        co_await m_dependencies.m_store->read_pages(std::string{wave_prefix}, m_wave_pages, fleet_call_timeout);
    if (status != store_status::ok) {
        co_return false;
    }
    const auto pages = std::exchange(m_wave_pages, {});
    for (const auto& item : pages.m_items) {
        apply_wave(item.m_value);
    }
    withdraw_waves(pages.m_items);
    std::vector<std::int64_t> unloaded;
    for (const auto& [number, wave] : m_waves) {
        if (!wave.m_loaded) {
            unloaded.push_back(number);
        }
    }
    for (const auto number : unloaded) {
        const bool read = co_await read_progress(number);
        if (!read) {
            co_return false;
        }
    }
    co_return true;
}

auto fleet_controller::store_wave(const std::int64_t number) -> asio::awaitable<void>
{
    auto& wave = m_waves[number];
    store_write write;
    write.m_conditions.push_back({std::string{holder_key}, m_dependencies.m_term.m_revision});
    write.m_puts.push_back({wave_progress_key(number),
                            encode(save_progress(wave.m_progress, wave.m_completed, wave.m_began_unix_ms)),
                            no_store_lease});
    if (!wave.m_status_written || wave.m_completed) {
        write.m_puts.push_back({wave_status_key(number), encode_wave_status(wave.m_completed), no_store_lease});
    }
    wave.m_dirty = false;
    wave.m_status_written = true;
    const auto written = co_await m_dependencies.m_store->write(std::move(write), fleet_call_timeout);
    auto& stored = m_waves[number];
    stored.m_dirty = stored.m_dirty || written.m_status != store_status::ok;
    stored.m_status_written = stored.m_status_written && written.m_status == store_status::ok;
}

auto fleet_controller::claims_of_other_waves(const std::int64_t number) const -> claimed_vms
{
    claimed_vms claims;
    for (const auto& [other, wave] : m_waves) {
        if (other != number) {
            add_claims(claims, wave.m_progress);
        }
    }
    return claims;
}

auto fleet_controller::update_completion(const std::int64_t number, open_wave& wave) -> void
{
    if (wave.m_withdrawn) {
        return;
    }
    if (wave.m_completed && is_current(m_vms, monotonic_now()) && has_open_vm(wave.m_progress, m_vms)) {
        wave.m_completed = false;
        wave.m_status_written = false;
        wave.m_dirty = true;
        LOG(INFO) << log_line{"wave_continued"}.with("wave", number);
    }
    else if (!wave.m_completed && is_wave_completed(wave.m_progress)) {
        wave.m_completed = true;
        wave.m_dirty = true;
        LOG(INFO) << log_line{"wave_completed"}.with("wave", number);
    }
}

auto fleet_controller::advance_waves() -> void
{
    const auto clock = read_clocks();
    const auto recent = recently_commanded(clock);
    for (auto& [number, wave] : m_waves) {
        if (!wave.m_loaded) {
            continue;
        }
        if (!wave.m_completed && m_dependencies.m_can_send_commands()) {
            static_cast<void>(plan_maintenance(*m_dependencies.m_state, m_dependencies.m_maintenance, wave.m_progress,
                                               m_vms, recent, clock.m_now, claims_of_other_waves(number)));
            for (const auto& [vm, since] : wave.m_progress.m_down) {
                // A command without a response is sent again; it is carried out only once.
                if (is_current(m_vms, clock.m_now) && !wave.m_withdrawn &&
                    is_command_due(wave.m_progress, vm, m_vms, recent) && m_pending_maintenance.insert(vm).second) {
                    const auto* listed = find_vm(m_vms.m_vms, vm);
                    m_planned_maintenance.push_back({number, vm, listed == nullptr ? worker_id{} : listed->m_worker});
                }
            }
            log_blocked(number, wave.m_progress);
        }
        update_completion(number, wave);
    }
}

auto fleet_controller::log_blocked(const std::int64_t number, const wave_progress_state& wave) const -> void
{
    for (const auto& id : wave.m_request.m_vms) {
        const auto* vm = find_vm(m_vms.m_vms, id);
        if (vm == nullptr || wave.m_begun.contains(id) || wave.m_down.contains(id)) {
            continue;
        }
        const auto task = blocking_task(*m_dependencies.m_state, vm->m_worker);
        if (task) {
            std::ostringstream members;
            for (std::int64_t index = 0;; ++index) {
                const auto* member =
                    find_task(*m_dependencies.m_state, {task->m_job, task->m_occurrence, task->m_step, index});
                if (member == nullptr) {
                    break;
                }
                members << static_cast<int>(member->m_phase) << ':' << member->m_percent << ' ';
            }
            LOG_EVERY_N(INFO, 10) << log_line{"upkeep_blocked"}
                                         .with("wave", number)
                                         .with("vm", id)
                                         .with("request", task->m_job)
                                         .with("step", task->m_step)
                                         .with("tasks", members.str());
        }
    }
}

} // namespace cicadalug
