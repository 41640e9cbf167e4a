#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/membership/control_lease_manager.hpp>
#include <cicadalug/platform/compare_and_swap.hpp>
#include <cicadalug/platform/json.hpp>
#include <cicadalug/replication/incremental_fleet_view.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace cicadalug {

namespace {

using nlohmann::json;

/** @brief Maximum number of attempts to write a record after conflicts with other writers. */
constexpr int raise_attempts{8};

[[nodiscard]] auto control_record_value(const entry_vm_id& holder, const control_effect& effect, const write_id& id)
    -> std::string
{
    return json{{"entry_vm", holder.str()}, {"epoch", effect.m_epoch.value()}, {"write_id", id.str()}}.dump();
}

[[nodiscard]] auto make_control_inputs(const membership_state& table, const availability_zone_id& zone)
    -> control_inputs
{
    control_inputs inputs;
    for (const auto& id : reachable_entry_vms(table, zone)) {
        const auto& entry = table.m_entry_vms.at(id);
        if (id != table.m_self && entry.m_heartbeat.m_control_epoch != epoch{}) {
            inputs.m_other_holder = true;
        }
        if (id < table.m_self) {
            ++inputs.m_rank;
        }
    }
    return inputs;
}

} // namespace

control_lease_manager::control_lease_manager(const asio::any_io_executor& executor, platform_client& platform,
                                             write_id_source& ids, const entry_vm_id& self,
                                             const availability_zone_id& zone, const control_settings& settings)
    : m_executor{executor}, m_platform{platform}, m_ids{ids}, m_self{self}, m_zone{zone}, m_state{make_control_state(
                                                                                              settings,
                                                                                              monotonic_now())}
{
}

auto control_lease_manager::set_control_handlers(begin_handler begin, end_handler end) -> void
{
    m_begin = std::move(begin);
    m_end = std::move(end);
}

template<typename Function>
auto control_lease_manager::update_state(Function function) -> control_effects
{
    const std::lock_guard lock{m_mutex};
    return function(m_state);
}

auto control_lease_manager::tick(const membership_state& table, const time_point now) -> void
{
    const auto inputs = make_control_inputs(table, m_zone);
    perform(update_state([&](auto& state) { return control_tick(state, inputs, now); }));
}

auto control_lease_manager::handle_process_pause(const time_point now) -> void
{
    perform(update_state([&](auto& state) { return on_process_paused(state, now); }));
}

auto control_lease_manager::release() -> asio::awaitable<void>
{
    const auto effects = update_state([](auto& state) { return release_control(state, monotonic_now()); });
    for (const auto& effect : effects) {
        if (effect.m_kind == control_effect::kind::revoke_lease) {
            static_cast<void>(co_await m_platform.revoke_lease(effect.m_lease));
        }
        else {
            perform({effect});
        }
    }
}

auto control_lease_manager::held_epoch() const -> std::optional<epoch>
{
    const std::lock_guard lock{m_mutex};
    return holds_control(m_state, monotonic_now()) ? std::optional{m_state.m_epoch} : std::nullopt;
}

auto control_lease_manager::announced_epoch() const -> epoch
{
    const std::lock_guard lock{m_mutex};
    return m_state.m_epoch;
}

auto control_lease_manager::perform(const control_effects& effects) -> void
{
    for (const auto& effect : effects) {
        if (effect.m_kind == control_effect::kind::control_begins) {
            LOG(INFO) << "event=control_begins zone=" << m_zone << " epoch=" << effect.m_epoch;
            m_begin(effect.m_epoch);
        }
        else if (effect.m_kind == control_effect::kind::control_ends) {
            LOG(INFO) << "event=control_ends zone=" << m_zone << " epoch=" << effect.m_epoch;
            m_end();
        }
        else {
            asio::co_spawn(m_executor, make_platform_call(effect), asio::detached);
        }
    }
}

auto control_lease_manager::make_platform_call(const control_effect effect) -> asio::awaitable<void>
{
    switch (effect.m_kind) {
    case control_effect::kind::grant_lease:
        co_await grant_lease(effect);
        break;
    case control_effect::kind::write_key:
        co_await write_key(effect);
        break;
    case control_effect::kind::raise_epochs:
        co_await raise_epochs(effect);
        break;
    case control_effect::kind::renew_lease:
        co_await renew_lease(effect);
        break;
    case control_effect::kind::revoke_lease:
        static_cast<void>(co_await m_platform.revoke_lease(effect.m_lease));
        break;
    case control_effect::kind::control_begins:
    case control_effect::kind::control_ends:
        break;
    }
}

auto control_lease_manager::report_failure(const std::uint64_t attempt) -> void
{
    perform(update_state([&](auto& state) { return on_attempt_failed(state, attempt, monotonic_now()); }));
}

auto control_lease_manager::grant_lease(const control_effect effect) -> asio::awaitable<void>
{
    milliseconds ttl{};
    static_cast<void>(update_state([&](auto& state) {
        ttl = state.m_settings.m_ttl;
        return control_effects{};
    }));
    const auto granted = co_await m_platform.grant_lease(ttl);
    if (!granted) {
        report_failure(effect.m_attempt);
        co_return;
    }
    const auto& lease = granted.assume_value();
    perform(
        update_state([&](auto& state) { return on_lease_granted(state, effect.m_attempt, lease, monotonic_now()); }));
}

auto control_lease_manager::write_key(const control_effect effect) -> asio::awaitable<void>
{
    const auto id = m_ids.next();
    kv_write write;
    write.m_key = "control/" + m_zone.str();
    write.m_value = control_record_value(m_self, effect, id);
    write.m_expected = effect.m_expected;
    write.m_write_id = id;
    write.m_lease = effect.m_lease;
    const auto written = co_await compare_and_swap(m_platform, write);
    if (!written) {
        report_failure(effect.m_attempt);
        co_return;
    }
    const auto at = written.assume_value();
    perform(update_state([&](auto& state) { return on_key_written(state, effect.m_attempt, at, monotonic_now()); }));
}

auto control_lease_manager::renew_lease(const control_effect effect) -> asio::awaitable<void>
{
    const auto kept = co_await m_platform.keep_alive(effect.m_lease);
    if (kept) {
        static_cast<void>(update_state([&](auto& state) {
            on_lease_renewed(state, effect.m_attempt, effect.m_effect_time);
            return control_effects{};
        }));
    }
    else if (kept.assume_error().m_kind == platform_error_kind::not_found) {
        report_failure(effect.m_attempt);
    }
    // After any other error the lease remains valid until it expires, and the next renewal may succeed.
}

auto control_lease_manager::raise_record_epoch(kv_entry record, const epoch target) -> asio::awaitable<bool>
{
    for (int attempt = 0; attempt < raise_attempts; ++attempt) {
        auto value = json::parse(record.m_value, nullptr, false);
        if (!value.is_object()) {
            LOG(ERROR) << "event=record_not_readable key=" << record.m_key;
            co_return true;
        }
        const epoch found{unsigned_member(value, "epoch")};
        if (found >= target) {
            co_return found == target;
        }
        const auto id = m_ids.next();
        value["epoch"] = target.value();
        value["write_id"] = id.str();
        kv_write write;
        write.m_key = record.m_key;
        write.m_value = value.dump();
        write.m_expected = record.m_version;
        write.m_write_id = id;
        auto written = co_await compare_and_swap(m_platform, write);
        if (written) {
            co_return true;
        }
        if (written.assume_error().m_kind != platform_error_kind::conflict) {
            co_return false;
        }
        record = written.assume_error().m_current;
    }
    co_return false;
}

auto control_lease_manager::raise_epochs(const control_effect effect) -> asio::awaitable<void>
{
    const auto records = co_await m_platform.range(fleet_prefix(m_zone));
    auto done = records.has_value();
    if (done) {
        for (const auto& record : records.assume_value().m_entries) {
            done = co_await raise_record_epoch(record, effect.m_epoch);
            if (!done) {
                break;
            }
        }
    }
    if (!done) {
        report_failure(effect.m_attempt);
        co_return;
    }
    perform(update_state([&](auto& state) { return on_epochs_raised(state, effect.m_attempt, monotonic_now()); }));
}

} // namespace cicadalug
