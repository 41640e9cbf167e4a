#include <cicadalug/adapter/operator_values.hpp>
#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/async/spawn.hpp>
#include <cicadalug/entry/decider.hpp>
#include <cicadalug/entry/decider_times.hpp>
#include <cicadalug/entry/read_clocks.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

using internal::failure_pause;

/** @brief A watch is requested again after this time; bounds how long an unresponsive connection goes unnoticed, and,
 * while nothing changes, how old the copy of the store is known to be. */
constexpr milliseconds watch_wait{500};

/** @brief Slack of a watch after one that failed. The changes that it missed come with the next response, which takes
 * longer; with the same timeout, a decider that is behind might never receive it. */
constexpr milliseconds retried_watch_slack{1'600};

/** @brief Workers are called directly if no relay offers itself within this time after relays are needed. Entry VMs
 * learn of a new decider within milliseconds; as long as no worker is called, each lease of the last term continues. */
constexpr milliseconds first_relay_wait{600};

/** @brief Longest pause between two attempts to read what a takeover needs. */
constexpr milliseconds longest_load_pause{500};

/** @brief Minimum time between two watch requests for one prefix; changes in quick succession share a request. */
constexpr milliseconds watch_gap{8};

} // namespace

decider::decider(asio::any_io_executor executor, store_client& store, worker_calls& calls,
                 const decider_settings& settings, const decider_term& term, std::function<time_point()> last_renewal,
                 std::function<void()> on_deposed)
    : m_executor{std::move(executor)}, m_store{store}, m_calls{calls}, m_term{term}, m_settings{settings},
      m_last_renewal{std::move(last_renewal)},
      m_on_deposed{std::move(on_deposed)}, m_relays{std::make_shared<relay_sessions>(m_executor, term.m_token)},
      m_progress_event{m_executor}, m_load_backoff{settings.m_self.str(), failure_pause, longest_load_pause}
{
    m_state.m_settings = settings.m_scheduler;
    m_state.m_token = term.m_token;
}

auto decider::start() -> void
{
    m_load.m_began = monotonic_now();
    m_takeover = begin_takeover(m_load.m_began);
    m_state.m_elected = m_load.m_began;
    m_state.m_candidate_since = m_term.m_candidate_since;
    m_state.m_places_since = m_term.m_token;
    m_relays->start();
    run_in_term(load(shared_from_this()), "load");
    run_in_term(observe_load(shared_from_this()), "observe_load");
    run_in_term(report_slow_takeover(shared_from_this()), "report_slow_takeover");
}

auto decider::run_in_term(asio::awaitable<void> coroutine, const std::string_view name) -> void
{
    spawn(m_executor, std::move(coroutine), name, [weak = weak_from_this()] {
        // What the coroutine did for the term is missing from now on; the next term begins from the store.
        if (const auto self = weak.lock()) {
            self->m_state.m_deposed = true;
            self->check_deposed();
        }
    });
}

auto decider::stop() -> void
{
    if (m_active) {
        log_load();
        m_settings.m_metrics->set_long_waits(0);
    }
    m_active = false;
    m_relays->stop();
    if (m_fleet_controller != nullptr) {
        m_fleet_controller->stop();
    }
    m_progress_event.notify();
}

auto decider::visible_state(const job_id& id) const -> std::optional<job_state>
{
    const auto* job = find_job(m_state, id);
    if (job == nullptr) {
        return std::nullopt;
    }
    if (job->m_state == job_state::cancelled || is_final(job->m_stored_state)) {
        return is_final(job->m_stored_state) ? job->m_stored_state : job_state::cancelled;
    }
    return job->m_started ? job_state::running : job_state::queued;
}

auto decider::pending(const queue_id& queue) const -> std::optional<std::int64_t>
{
    return are_jobs_current(m_state, monotonic_now()) ? std::optional{pending_jobs(m_state, queue)} : std::nullopt;
}

auto decider::start_fleet_controller() -> void
{
    if (m_settings.m_fleet.port() == 0) {
        return;
    }
    const std::weak_ptr<decider> weak = shared_from_this();
    fleet_controller_dependencies dependencies;
    dependencies.m_executor = m_executor;
    dependencies.m_store = &m_store;
    dependencies.m_term = m_term;
    dependencies.m_handover_interval = m_settings.m_handover_interval;
    dependencies.m_maintenance = m_settings.m_maintenance;
    dependencies.m_moves = m_settings.m_moves;
    dependencies.m_config = m_settings.m_config;
    dependencies.m_state = &m_state;
    dependencies.m_can_send_commands = [weak] {
        const auto self = weak.lock();
        return self != nullptr && self->m_active &&
               monotonic_now() - self->m_last_renewal() < self->m_settings.m_term_lease * 3 / 4;
    };
    dependencies.m_on_change = [weak] {
        if (const auto self = weak.lock()) {
            self->check_deposed();
            self->schedule_pass();
        }
    };
    m_fleet_controller = std::make_shared<fleet_controller>(
        dependencies, std::make_unique<fleet_client>(m_executor, m_settings.m_fleet, m_settings.m_self));
    m_fleet_controller->start();
}

auto decider::apply_job_change(const std::string& key, const std::optional<std::string>& value, const bool recovered)
    -> void
{
    if (!value) {
        return;
    }
    const auto clock = read_clocks();
    if (const auto id = cancelled_job(key)) {
        apply_cancel(*id, *value, clock);
        return;
    }
    auto record = decode_job_record(*value);
    if (!record) {
        LOG(ERROR) << log_line{"job_unreadable"}.with("key", key);
        return;
    }
    add_job(m_state, std::move(record).assume_value(), std::nullopt, recovered, clock);
}

auto decider::watch_jobs(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    milliseconds slack{watch_slack};
    while (self->m_active) {
        const auto sent = monotonic_now();
        const auto known = m_store.revisions().m_highest;
        const auto changes = co_await m_store.watch(std::string{job_prefix}, m_jobs_revision, watch_wait, slack);
        if (!m_active) {
            co_return;
        }
        slack = changes.m_status == store_status::ok ? watch_slack : retried_watch_slack;
        if (changes.m_status == store_status::ok) {
            count_watch(m_load, changes, known);
            m_jobs_revision = std::max(m_jobs_revision, changes.m_revision);
            for (const auto& change : changes.m_changes) {
                apply_job_change(change.m_key, change.m_value, false);
            }
            record_jobs_read(copy_time(m_store.revisions(), changes, sent, known));
            if (!changes.m_changes.empty()) {
                schedule_pass();
                co_await sleep_for(m_executor, watch_gap);
            }
            continue;
        }
        ++m_load.m_failed_watches;
        co_await sleep_for(m_executor, failure_pause);
        if (changes.m_status == store_status::compacted) {
            LOG(WARNING) << log_line{"job_history_gone"}.with("revision", m_jobs_revision);
            const bool reloaded = co_await reload_jobs();
            co_await pause_after_reload(reloaded);
        }
    }
}

auto decider::apply_worker_entry(const std::string& key, const std::optional<std::string>& value) -> void
{
    if (!value) {
        m_registry.erase(key);
        m_unusable_entries.erase(key);
        return;
    }
    auto entry = decode_worker(key, *value);
    if (!entry) {
        m_registry.erase(key);
        // Its writer may repeat the entry with each heartbeat.
        auto& logged = m_unusable_entries[key];
        if (auto text = entry.assume_error().to_string(); text != logged) {
            LOG(WARNING) << log_line{"worker_entry_unusable"}.with("findings", text);
            logged = std::move(text);
        }
        return;
    }
    m_unusable_entries.erase(key);
    m_registry.insert_or_assign(key, std::move(entry).assume_value());
}

auto decider::apply_worker_change(const std::string& key, const std::optional<std::string>& value) -> void
{
    const auto known = m_registry.find(key);
    const auto before = known == m_registry.end() ? worker_id{} : known->second.m_id;
    apply_worker_entry(key, value);
    const auto entry = m_registry.find(key);
    if (entry != m_registry.end()) {
        register_worker(m_state, entry->second);
    }
    else if (!before.empty()) {
        unregister_worker(m_state, before);
    }
}

auto decider::apply_workers() -> void
{
    std::vector<worker_entry> entries;
    entries.reserve(m_registry.size());
    for (const auto& [key, entry] : m_registry) {
        entries.push_back(entry);
    }
    apply_registry(m_state, entries);
    update_relay_admission();
    start_renewals();
    schedule_pass();
}

auto decider::start_renewals() -> void
{
    m_renewing.resize(m_state.m_workers.size(), false);
    for (const auto index : m_state.m_current_workers) {
        if (!m_renewing[static_cast<std::size_t>(index)]) {
            m_renewing[static_cast<std::size_t>(index)] = true;
            run_in_term(renew_worker_lease(shared_from_this(), index), "renew_worker_lease");
        }
    }
}

auto decider::update_relay_admission() -> void
{
    const bool needed = needs_relays(m_registry.size(), m_settings.m_cores);
    m_relays->set_admission(needed ? relay_admission::open : relay_admission::not_needed);
    if (needed && !m_uses_relays) {
        m_relays_awaited_until = monotonic_now() + first_relay_wait;
        LOG(INFO) << log_line{"relays_needed"}
                         .with("token", m_term.m_token)
                         .with("workers", m_registry.size())
                         .with("cores", m_settings.m_cores);
    }
    m_uses_relays = needed;
}

auto decider::awaits_relays() const -> bool
{
    return m_uses_relays && !m_relays->is_available() && monotonic_now() < m_relays_awaited_until;
}

auto decider::handle_relay(http_exchange& exchange) -> asio::awaitable<bool>
{
    const auto relays = m_relays;
    co_return co_await relays->handle(exchange);
}

auto decider::watch_workers(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    milliseconds slack{watch_slack};
    while (self->m_active) {
        const auto sent = monotonic_now();
        const auto known = m_store.revisions().m_highest;
        const auto changes = co_await m_store.watch(std::string{worker_prefix}, m_workers_revision, watch_wait, slack);
        if (!m_active) {
            co_return;
        }
        slack = changes.m_status == store_status::ok ? watch_slack : retried_watch_slack;
        if (changes.m_status == store_status::ok) {
            count_watch(m_load, changes, known);
            m_workers_revision = std::max(m_workers_revision, changes.m_revision);
            for (const auto& change : changes.m_changes) {
                apply_worker_change(change.m_key, change.m_value);
            }
            record_workers_read(copy_time(m_store.revisions(), changes, sent, known));
            if (!changes.m_changes.empty()) {
                update_relay_admission();
                start_renewals();
                schedule_pass();
                co_await sleep_for(m_executor, watch_gap);
            }
            continue;
        }
        ++m_load.m_failed_watches;
        co_await sleep_for(m_executor, failure_pause);
        if (changes.m_status == store_status::compacted) {
            const bool reloaded = co_await load_workers();
            co_await pause_after_reload(reloaded);
        }
    }
}

auto decider::check_deposed() -> void
{
    if (m_state.m_deposed && m_active) {
        LOG(WARNING) << log_line{"deposed"}.with("token", m_term.m_token);
        stop();
        m_on_deposed();
    }
}

} // namespace cicadalug
