#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/control/control_loop.hpp>
#include <cicadalug/http/message.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace cicadalug {

namespace {

constexpr milliseconds step_interval{500};
/** @brief Interval while no VM is in an operation. With 1,250 VMs and 377 pools a step takes about 5 ms of a core. */
constexpr milliseconds idle_step_interval{1'000};
/** @brief Interval after a step that wrote records: most operations need several consecutive steps. */
constexpr milliseconds follow_up_interval{20};
constexpr milliseconds retry_interval{1'000};
constexpr milliseconds probe_timeout{1'000};
/** @brief Time after a step in which its reboot requests are sent; a longer clock jump counts as a pause. */
constexpr milliseconds reboot_request_limit{1'000};

[[nodiscard]] auto sleep_for(const milliseconds time) -> asio::awaitable<void>
{
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    co_await timer.async_wait(asio::use_awaitable);
}

[[nodiscard]] auto parse_value(const kv_entry& entry) -> nlohmann::json
{
    return nlohmann::json::parse(entry.m_value, nullptr, false);
}

[[nodiscard]] auto to_listed_vm(const platform_vm& vm) -> listed_vm
{
    return {vm.m_vm,    vm.m_availability_zone, vm.m_rack, vm.m_room,    vm.m_address,
            vm.m_slots, vm.m_connections,       vm.m_pool, vm.m_leaving, vm.m_boot};
}

[[nodiscard]] auto has_operation(const zone_control_state& state) -> bool
{
    return std::any_of(state.m_shards.begin(), state.m_shards.end(), [](const auto& shard) {
        const auto& vms = shard.second.m_value.m_vms;
        return std::any_of(vms.begin(), vms.end(), [](const auto& vm) { return !vm.second.m_operation.empty(); });
    });
}

/** @brief Returns whether the target accepts a new connection. Nothing is sent, so that no task can be started. */
[[nodiscard]] auto accepts_connection(const tcp_endpoint target) -> asio::awaitable<bool>
{
    const auto executor = co_await asio::this_coro::executor;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    asio::steady_timer timer{executor, probe_timeout};
    timer.async_wait([socket](const auto& error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    boost::system::error_code failed;
    co_await socket->async_connect(target, asio::redirect_error(asio::use_awaitable, failed));
    co_return !failed;
}

} // namespace

control_loop::control_loop(const asio::any_io_executor& executor, platform_client& platform, write_id_source& ids,
                           replica& local_replica, membership_service& members, const availability_zone_id& zone,
                           const milliseconds vm_list_interval, control_sources sources)
    : m_executor{executor}, m_platform{platform}, m_ids{ids}, m_replica{local_replica}, m_members{members},
      m_zone{zone}, m_vm_list_interval{vm_list_interval}, m_sources{std::move(sources)}
{
}

auto control_loop::begin(const epoch held) -> void
{
    m_active = true;
    ++m_term;
    m_state = {};
    m_planner = {};
    m_state.m_availability_zone = m_zone;
    m_state.m_epoch = held;
    m_state.m_writer = m_ids.next().str();
    m_listed.reset();
    m_vm_list_due = {};
    m_unresolved.clear();
    m_unresponsive.clear();
    asio::co_spawn(m_executor, run(m_term), asio::detached);
}

auto control_loop::end() -> void
{
    m_active = false;
}

auto control_loop::receive(const datagram& message) -> void
{
    const auto* confirmed = std::get_if<drain_report>(&message.m_body);
    if (confirmed == nullptr || !m_active) {
        return;
    }
    for (const auto& vm : confirmed->m_vms) {
        receive_confirmation(m_state.m_confirmations, {message.m_sender, message.m_incarnation, vm.m_vm, vm.m_version});
    }
}

auto control_loop::log_findings(const findings& found) const -> void
{
    if (!found.empty()) {
        LOG(ERROR) << "event=value_not_readable zone=" << m_zone << " error=\"" << found.to_string() << '"';
    }
}

auto control_loop::load_prefix(const std::string prefix, const std::uint64_t term) -> asio::awaitable<bool>
{
    const auto read = co_await m_platform.range(prefix);
    if (!read || !is_current(term)) {
        co_return false;
    }
    for (const auto& entry : read.assume_value().m_entries) {
        log_findings(apply_value(m_state, entry.m_key, entry.m_version, parse_value(entry)));
    }
    // The ledgers are loaded last, so the revision that remains here is theirs. A store without any write has revision
    // zero; the watch then starts at the first write.
    m_ledger_revision = std::max(read.assume_value().m_revision, version{1});
    co_return true;
}

auto control_loop::load(const std::uint64_t term) -> asio::awaitable<bool>
{
    co_return co_await load_prefix("fleet/" + m_zone.str() + '/', term) &&
        co_await load_prefix("wave/" + m_zone.str() + '/', term) && co_await load_prefix("budget/", term);
}

auto control_loop::watch_ledgers(const std::uint64_t term) -> asio::awaitable<void>
{
    auto after = m_ledger_revision;
    while (is_current(term)) {
        auto opened = co_await m_platform.watch("budget/", after);
        while (opened && is_current(term)) {
            const auto event = co_await opened.assume_value()->next();
            if (!event || !is_current(term)) {
                break;
            }
            const auto& change = event.assume_value().m_change;
            if (change) {
                log_findings(apply_change(m_state, change->m_key, change->m_version, parse_value(*change)));
            }
            after = std::max(after, change ? change->m_version : event.assume_value().m_progress);
        }
        co_await sleep_for(retry_interval);
    }
}

auto control_loop::read_vm_list(const std::uint64_t term) -> asio::awaitable<void>
{
    const auto now = monotonic_now();
    if (now < m_vm_list_due) {
        co_return;
    }
    m_vm_list_due = now + m_vm_list_interval;
    const auto vms = co_await m_platform.list_vms(m_zone);
    if (!is_current(term)) {
        co_return;
    }
    m_listed.reset();
    if (vms) {
        m_listed.emplace();
        for (const auto& vm : vms.assume_value()) {
            // Entry VMs are on the list as well, but have no slots.
            if (vm.m_slots > 0 && vm.m_availability_zone == m_zone) {
                m_listed->emplace(vm.m_vm, to_listed_vm(vm));
            }
        }
    }
}

auto control_loop::make_inputs(const fleet_view& view) -> zone_control_inputs
{
    zone_control_inputs inputs;
    inputs.m_view = &view;
    inputs.m_listed = m_listed;
    for (const auto& [id, entry] : m_members.table().m_entry_vms) {
        if (entry.m_info.m_availability_zone == m_zone) {
            inputs.m_entry_vms.push_back({id, entry.m_heartbeat.m_incarnation, entry.m_state == entry_vm_state::gone});
        }
    }
    inputs.m_unhealthy = m_sources.m_unhealthy();
    inputs.m_unhealthy.insert(m_unresponsive.begin(), m_unresponsive.end());
    inputs.m_needed_vms = m_sources.m_needed_vms();
    inputs.m_moves = plan_zone(m_planner, m_state, view, inputs.m_needed_vms, monotonic_now());
    return inputs;
}

auto control_loop::probe_returning_vms(const std::uint64_t term) -> asio::awaitable<void>
{
    std::vector<std::pair<vm_id, std::string>> returning;
    for (const auto& [number, shard] : m_state.m_shards) {
        for (const auto& [id, record] : shard.m_value.m_vms) {
            if (record.m_phase == vm_phase::returning) {
                returning.emplace_back(id, record.m_address);
            }
        }
    }
    std::set<vm_id> unresponsive;
    for (const auto& [id, address] : returning) {
        findings found;
        const auto target = parse_endpoint(address, "address", found);
        auto accepted = false;
        if (found.empty()) {
            accepted = co_await accepts_connection(target);
        }
        if (!accepted) {
            unresponsive.insert(id);
        }
    }
    if (is_current(term)) {
        m_unresponsive = std::move(unresponsive);
    }
}

auto control_loop::write(const zone_control_write change, const std::uint64_t term) -> asio::awaitable<void>
{
    kv_write request;
    request.m_key = change.m_key;
    request.m_value = change.m_value.dump();
    request.m_expected = change.m_expected;
    request.m_write_id = change.m_write_id;
    const auto written = co_await m_platform.put_once(std::move(request));
    if (!is_current(term)) {
        co_return;
    }
    if (written) {
        log_findings(apply_value(m_state, change.m_key, written.assume_value(), change.m_value));
        co_return;
    }
    const auto& current_entry = written.assume_error().m_current;
    if (written.assume_error().m_kind == platform_error_kind::conflict && current_entry.m_key == change.m_key) {
        log_findings(apply_value(m_state, change.m_key, current_entry.m_version, parse_value(current_entry)));
        co_return;
    }
    LOG(INFO) << "event=control_write_failed key=" << change.m_key << " error=\"" << written.assume_error().m_message
              << '"';
    m_unresolved.push_back(change);
}

auto control_loop::resolve(const std::uint64_t term) -> asio::awaitable<void>
{
    const auto unresolved = std::exchange(m_unresolved, {});
    for (const auto& change : unresolved) {
        const auto read = co_await m_platform.get(change.m_key);
        if (!is_current(term)) {
            co_return;
        }
        if (read) {
            const auto& entry = read.assume_value();
            log_findings(apply_reread(m_state, change, entry.m_version, parse_value(entry)));
        }
        else {
            m_unresolved.push_back(change);
        }
    }
}

auto control_loop::perform(zone_control_effects effects, const std::uint64_t term) -> asio::awaitable<void>
{
    const auto start = monotonic_now();
    for (const auto& request : effects.m_reboots) {
        // After a pause, another control holder may have returned the VM to service. Requests that are skipped here are
        // repeated by a later step.
        if (!is_current(term) || monotonic_now() - start > reboot_request_limit) {
            break;
        }
        LOG(INFO) << "event=reboot vm=" << request.m_vm << " boot=" << request.m_boot;
        static_cast<void>(co_await m_platform.reboot(request.m_vm));
    }
    for (auto& change : effects.m_writes) {
        if (!is_current(term)) {
            co_return;
        }
        co_await write(std::move(change), term);
    }
}

auto control_loop::run(const std::uint64_t term) -> asio::awaitable<void>
{
    while (is_current(term) && !(co_await load(term) && m_replica.loaded())) {
        co_await sleep_for(retry_interval);
    }
    asio::co_spawn(m_executor, watch_ledgers(term), asio::detached);
    while (is_current(term)) {
        co_await resolve(term);
        if (is_current(term)) {
            co_await read_vm_list(term);
        }
        if (is_current(term)) {
            co_await probe_returning_vms(term);
        }
        if (!is_current(term)) {
            break;
        }
        const auto view = m_replica.view();
        auto effects = zone_control_step(m_state, make_inputs(*view), monotonic_now());
        if (m_state.m_fenced) {
            LOG(WARNING) << "event=control_fenced zone=" << m_zone << " epoch=" << m_state.m_epoch;
            break;
        }
        const auto wrote = !effects.m_writes.empty();
        co_await perform(std::move(effects), term);
        const auto waiting = has_operation(m_state) ? step_interval : idle_step_interval;
        co_await sleep_for(wrote && m_unresolved.empty() ? follow_up_interval : waiting);
    }
}

} // namespace cicadalug
