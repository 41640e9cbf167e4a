#include <cicadalug/adapter/operator_values.hpp>
#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/decider.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Time for a read or a write; a store that is 60 times as slow as usual still answers within it. */
constexpr milliseconds store_timeout{700};

/** @brief A watch is asked again after this time, which bounds how long a silent connection goes unnoticed. */
constexpr milliseconds watch_wait{1'500};

/** @brief Pause after a failed call to the store. */
constexpr milliseconds failure_pause{60};

/** @brief Shortest time between two watches of one prefix: changes that come close together share a call. */
constexpr milliseconds watch_gap{8};

/** @brief A renewal of a worker's lease waits this long for an end of a run. */
constexpr milliseconds renewal_wait{900};

/** @brief Time beyond the asked wait after which a renewal is taken for lost. */
constexpr milliseconds renewal_slack{500};

/** @brief Shortest time between two renewals of one worker: ends that come close together share a call. */
constexpr milliseconds renewal_gap{60};

/** @brief Pause after a renewal without an answer. */
constexpr milliseconds renewal_pause{200};

/** @brief Changes within this time are decided in one pass. */
constexpr milliseconds pass_delay{2};

/** @brief Back-offs, leases and due times are looked at this often. */
constexpr milliseconds tick_interval{100};

/** @brief Progress within this time shares a write. */
constexpr milliseconds progress_gap{12};

/** @brief Jobs in one write, beside the conditions on the term and on the log and the put of the log. */
constexpr std::size_t progress_jobs{store_write_entries - 3};

/** @brief At most this many lines about runs are logged in this time; the others are counted. */
constexpr milliseconds log_window{1'000};
constexpr std::int64_t log_window_lines{60};

[[nodiscard]] auto to_ms(const microseconds time) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

/** @brief Jobs whose final state has been kept long enough are removed this often, a few in one write. */
constexpr milliseconds garbage_interval{2'000};
constexpr std::size_t garbage_jobs{(store_write_entries - 1) / 3};

/** @brief Time for an order to a worker. */
constexpr milliseconds order_timeout{800};

} // namespace

decider::decider(asio::any_io_executor executor, store_client& store, const decider_settings& settings,
                 const decider_term& term, std::function<time_point()> renewed, std::function<void()> deposed)
    : m_executor{std::move(executor)}, m_store{store}, m_term{term},
      m_settings{settings}, m_renewed{std::move(renewed)}, m_deposed{std::move(deposed)}, m_progress_wanted{m_executor}
{
    m_state.m_settings = settings.m_scheduler;
    m_state.m_token = term.m_token;
}

auto decider::read_clocks() -> clock_reading
{
    const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
    return {monotonic_now(), std::chrono::duration_cast<milliseconds>(unix_time).count()};
}

auto decider::start() -> void
{
    asio::co_spawn(m_executor, load(shared_from_this()), asio::detached);
}

auto decider::stop() -> void
{
    m_active = false;
    if (m_fleet_duty != nullptr) {
        m_fleet_duty->stop();
    }
    m_progress_wanted.notify();
}

auto decider::shown_state(const job_id& id) const -> std::optional<job_state>
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

auto decider::pending(const queue_id& queue) const -> std::int64_t
{
    return pending_jobs(m_state, queue);
}

auto decider::begin_fleet_duty() -> void
{
    if (m_settings.m_fleet.port() == 0) {
        return;
    }
    const std::weak_ptr<decider> weak = shared_from_this();
    fleet_duty_parts parts;
    parts.m_executor = m_executor;
    parts.m_store = &m_store;
    parts.m_term = m_term;
    parts.m_duty_interval = m_settings.m_duty_interval;
    parts.m_upkeep = m_settings.m_upkeep;
    parts.m_moves = m_settings.m_moves;
    parts.m_config = m_settings.m_config;
    parts.m_state = &m_state;
    parts.m_may_order = [weak] {
        const auto self = weak.lock();
        return self != nullptr && self->m_active &&
               monotonic_now() - self->m_renewed() < self->m_settings.m_term_lease * 3 / 4;
    };
    parts.m_changed = [weak] {
        if (const auto self = weak.lock()) {
            self->check_deposed();
            self->schedule_pass();
        }
    };
    m_fleet_duty = std::make_shared<fleet_duty>(
        parts, std::make_unique<fleet_client>(m_executor, m_settings.m_fleet, m_settings.m_self));
    m_fleet_duty->start();
}

auto decider::log_value() const -> std::string
{
    const auto now = monotonic_now();
    auto text = std::to_string(m_term.m_token.value()) + ' ' + std::to_string(m_log_number);
    for (const auto& worker : m_state.m_workers) {
        if (worker.m_lease_until_ms > 0 && lease_end(m_state, worker) > now) {
            text += ' ' + worker.m_entry.m_id.str();
        }
    }
    return text;
}

auto decider::read_log() -> asio::awaitable<bool>
{
    const auto read = co_await m_store.read(std::string{log_key}, store_timeout);
    if (read.m_status == store_status::ok) {
        std::istringstream text{read.m_item.m_value};
        std::string word;
        text >> word >> word;
        while (text >> word) {
            m_state.m_expected_workers.emplace(word);
        }
    }
    co_return read.m_status == store_status::ok || read.m_status == store_status::missing;
}

auto decider::load_log() -> asio::awaitable<bool>
{
    // The first write of a term makes all later writes of earlier terms fail, also those under way.
    store_write write;
    write.m_conditions.push_back({std::string{holder_key}, m_term.m_revision});
    write.m_puts.push_back({std::string{log_key}, log_value(), no_store_lease});
    const auto written = co_await m_store.write(std::move(write), store_timeout);
    if (written.m_status == store_status::conflict) {
        m_state.m_deposed = true;
    }
    if (written.m_status == store_status::ok) {
        m_log_revision = written.m_revision;
    }
    co_return written.m_status == store_status::ok;
}

auto decider::load_jobs(const bool recovered) -> asio::awaitable<bool>
{
    const auto jobs = co_await m_store.list_all(std::string{job_prefix}, store_timeout);
    if (jobs.m_status != store_status::ok) {
        co_return false;
    }
    std::map<std::string, std::optional<job_progress>> stored;
    if (recovered) {
        const auto progress = co_await m_store.list_all(std::string{progress_prefix}, store_timeout);
        if (progress.m_status != store_status::ok) {
            co_return false;
        }
        for (const auto& item : progress.m_items) {
            auto decoded = decode_job_progress(item.m_value);
            if (!decoded) {
                LOG(ERROR) << log_line{"progress_unreadable"}.with("key", item.m_key);
                continue;
            }
            stored.emplace(item.m_key, std::move(decoded).assume_value());
        }
    }
    m_jobs_seen = std::max(m_jobs_seen, jobs.m_revision);
    const auto clock = read_clocks();
    for (const auto& item : jobs.m_items) {
        if (cancelled_job(item.m_key)) {
            continue;
        }
        auto record = decode_job_record(item.m_value);
        if (!record) {
            LOG(ERROR) << log_line{"job_unreadable"}.with("key", item.m_key);
            continue;
        }
        auto& progress = stored[progress_key(record.assume_value().m_id)];
        add_job(m_state, std::move(record).assume_value(), progress, recovered, clock);
    }
    for (const auto& item : jobs.m_items) {
        if (const auto id = cancelled_job(item.m_key)) {
            cancel_job(m_state, *id, clock.m_now);
        }
    }
    co_return true;
}

auto decider::load_workers() -> asio::awaitable<bool>
{
    const auto page = co_await m_store.list_all(std::string{worker_prefix}, store_timeout);
    if (page.m_status != store_status::ok) {
        co_return false;
    }
    m_workers_seen = std::max(m_workers_seen, page.m_revision);
    m_registry.clear();
    for (const auto& item : page.m_items) {
        note_worker_entry(item.m_key, item.m_value);
    }
    apply_workers();
    co_return true;
}

auto decider::load_from_store() -> asio::awaitable<bool>
{
    if (m_log_revision == store_revision{0}) {
        const bool read = co_await read_log();
        if (!read) {
            co_return false;
        }
        const bool written = co_await load_log();
        if (!written) {
            co_return false;
        }
    }
    const bool jobs = co_await load_jobs(true);
    if (!jobs) {
        co_return false;
    }
    m_state.m_began = monotonic_now();
    const bool workers = co_await load_workers();
    co_return workers;
}

auto decider::load(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    const auto begin = monotonic_now();
    // GCC 12 miscompiles a co_await in the condition of a loop, hence the flag.
    for (bool loaded = false; self->m_active && !loaded;) {
        loaded = co_await load_from_store();
        if (!loaded) {
            check_deposed();
            co_await sleep_for(m_executor, failure_pause);
        }
    }
    if (!m_active) {
        co_return;
    }
    m_loaded = true;
    LOG(INFO) << log_line{"takeover"}
                     .with("token", m_term.m_token)
                     .with("jobs", m_state.m_jobs.size())
                     .with("workers", m_state.m_workers.size())
                     .with("took_ms", std::chrono::duration_cast<milliseconds>(monotonic_now() - begin).count());
    asio::co_spawn(m_executor, follow_jobs(self), asio::detached);
    asio::co_spawn(m_executor, follow_workers(self), asio::detached);
    asio::co_spawn(m_executor, store_progress(self), asio::detached);
    asio::co_spawn(m_executor, tick(self), asio::detached);
    asio::co_spawn(m_executor, collect_garbage(self), asio::detached);
    begin_fleet_duty();
}

auto decider::apply_job_change(const std::string& key, const std::optional<std::string>& value, const bool recovered)
    -> void
{
    if (!value) {
        return;
    }
    const auto clock = read_clocks();
    if (const auto id = cancelled_job(key)) {
        LOG(INFO) << log_line{"job_cancelled"}.with("request", *id);
        cancel_job(m_state, *id, clock.m_now);
        return;
    }
    auto record = decode_job_record(*value);
    if (!record) {
        LOG(ERROR) << log_line{"job_unreadable"}.with("key", key);
        return;
    }
    add_job(m_state, std::move(record).assume_value(), std::nullopt, recovered, clock);
}

auto decider::follow_jobs(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active) {
        const auto changes = co_await m_store.watch(std::string{job_prefix}, m_jobs_seen, watch_wait);
        if (!m_active) {
            co_return;
        }
        if (changes.m_status == store_status::ok) {
            m_jobs_seen = std::max(m_jobs_seen, changes.m_revision);
            for (const auto& change : changes.m_changes) {
                apply_job_change(change.m_key, change.m_value, false);
            }
            if (!changes.m_changes.empty()) {
                schedule_pass();
                co_await sleep_for(m_executor, watch_gap);
            }
            continue;
        }
        co_await sleep_for(m_executor, failure_pause);
        if (changes.m_status == store_status::compacted) {
            LOG(WARNING) << log_line{"job_history_gone"}.with("revision", m_jobs_seen);
            static_cast<void>(co_await load_jobs(false));
        }
    }
}

auto decider::note_worker_entry(const std::string& key, const std::optional<std::string>& value) -> void
{
    if (!value) {
        m_registry.erase(key);
        return;
    }
    auto entry = decode_worker(key, *value);
    if (!entry) {
        LOG(WARNING) << log_line{"worker_entry_unusable"}.with("findings", entry.assume_error().to_string());
        m_registry.erase(key);
        return;
    }
    m_registry.insert_or_assign(key, std::move(entry).assume_value());
}

auto decider::apply_workers() -> void
{
    std::vector<worker_entry> entries;
    entries.reserve(m_registry.size());
    for (const auto& [key, entry] : m_registry) {
        entries.push_back(entry);
    }
    const auto known = m_state.m_workers.size();
    apply_registry(m_state, entries, monotonic_now());
    m_clients.resize(m_state.m_workers.size());
    for (auto index = known; index < m_state.m_workers.size(); ++index) {
        asio::co_spawn(m_executor, keep_worker(shared_from_this(), static_cast<worker_index>(index)), asio::detached);
    }
    schedule_pass();
}

auto decider::follow_workers(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active) {
        const auto changes = co_await m_store.watch(std::string{worker_prefix}, m_workers_seen, watch_wait);
        if (!m_active) {
            co_return;
        }
        if (changes.m_status == store_status::ok) {
            m_workers_seen = std::max(m_workers_seen, changes.m_revision);
            for (const auto& change : changes.m_changes) {
                note_worker_entry(change.m_key, change.m_value);
            }
            if (!changes.m_changes.empty()) {
                apply_workers();
                co_await sleep_for(m_executor, watch_gap);
            }
            continue;
        }
        co_await sleep_for(m_executor, failure_pause);
        if (changes.m_status == store_status::compacted) {
            static_cast<void>(co_await load_workers());
        }
    }
}

auto decider::client_of(const worker_index index) -> std::shared_ptr<worker_client>
{
    const auto& entry = m_state.m_workers[static_cast<std::size_t>(index)].m_entry;
    auto& client = m_clients[static_cast<std::size_t>(index)];
    findings found;
    const auto endpoint = parse_endpoint(entry.m_address, entry.m_id.str(), found);
    if (client == nullptr || client->endpoint() != endpoint) {
        client = std::make_shared<worker_client>(m_executor, entry.m_id, endpoint);
    }
    return client;
}

auto decider::keep_worker(const std::shared_ptr<decider> self, const worker_index index) -> asio::awaitable<void>
{
    const auto position = static_cast<std::size_t>(index);
    while (self->m_active) {
        if (!m_state.m_workers[position].m_registered && m_state.m_workers[position].m_runs.empty()) {
            co_await sleep_for(m_executor, tick_interval);
            continue;
        }
        const auto client = client_of(index);
        const auto& worker = m_state.m_workers[position];
        lease_renewal renewal;
        renewal.m_token = m_term.m_token;
        renewal.m_acknowledged_end = worker.m_acknowledged_end;
        if (worker.m_heard) {
            note_renewal();
            renewal.m_until_ms = grant_lease(m_state, index, monotonic_now());
            renewal.m_wait = renewal_wait;
        }
        const auto sent = monotonic_now();
        const auto answer = co_await client->renew(renewal, renewal.m_wait + renewal_slack);
        if (!m_active) {
            co_return;
        }
        if (answer.m_result == order_result::accepted) {
            const bool first = !m_state.m_workers[position].m_heard;
            apply_report(m_state, index, answer.m_report, sent, monotonic_now());
            schedule_pass();
            m_progress_wanted.notify();
            if (!first) {
                co_await sleep_for(m_executor, renewal_gap);
            }
            continue;
        }
        if (answer.m_result == order_result::fenced) {
            m_state.m_deposed = true;
            check_deposed();
            co_return;
        }
        m_state.m_workers[position].m_silent = true;
        co_await sleep_for(m_executor, renewal_pause);
    }
}

auto decider::store_progress(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active) {
        co_await m_progress_wanted.wait(tick_interval);
        if (!m_active) {
            co_return;
        }
        if (m_state.m_dirty.empty()) {
            for (auto& worker : m_state.m_workers) {
                worker.m_acknowledged_end = worker.m_last_end;
            }
            continue;
        }
        const bool written = co_await write_round();
        if (!written) {
            co_await sleep_for(m_executor, failure_pause);
        }
        co_await sleep_for(m_executor, progress_gap);
    }
}

auto decider::write_round() -> asio::awaitable<bool>
{
    const auto jobs = std::exchange(m_state.m_dirty, {});
    std::vector<std::int64_t> ends;
    for (const auto& worker : m_state.m_workers) {
        ends.push_back(worker.m_last_end);
    }
    for (auto* job : jobs) {
        job->m_dirty = false;
    }
    for (std::size_t first = 0; first < jobs.size(); first += progress_jobs) {
        const auto last = std::min(jobs.size(), first + progress_jobs);
        const bool written = co_await write_progress(jobs, first, last);
        if (!written) {
            for (auto position = first; position < jobs.size(); ++position) {
                mark_dirty(m_state, *jobs[position]);
            }
            co_return false;
        }
    }
    for (std::size_t index = 0; index < ends.size(); ++index) {
        auto& worker = m_state.m_workers[index];
        // A worker that began another life meanwhile counts anew.
        worker.m_acknowledged_end = std::min(ends[index], worker.m_last_end);
    }
    co_return true;
}

auto decider::write_progress(const std::vector<job_entry*>& jobs, const std::size_t first, const std::size_t last)
    -> asio::awaitable<bool>
{
    store_write write;
    write.m_conditions.push_back({std::string{holder_key}, m_term.m_revision});
    write.m_conditions.push_back({std::string{log_key}, m_log_revision});
    ++m_log_number;
    write.m_puts.push_back({std::string{log_key}, log_value(), no_store_lease});
    std::vector<job_progress> stored;
    for (auto position = first; position < last; ++position) {
        stored.push_back(progress_of(*jobs[position]));
        write.m_puts.push_back({progress_key(jobs[position]->m_record.m_id), encode(stored.back()), no_store_lease});
    }
    const auto written = co_await m_store.write(std::move(write), store_timeout);
    if (written.m_status == store_status::conflict) {
        for (const auto& item : written.m_current) {
            if (item.m_key == holder_key && item.m_revision != m_term.m_revision) {
                m_state.m_deposed = true;
            }
            // An earlier write without an answer was carried out; this one was not.
            if (item.m_key == log_key) {
                m_log_revision = item.m_revision;
            }
        }
        const bool holder_there = std::any_of(written.m_current.begin(), written.m_current.end(),
                                              [](const store_item& item) { return item.m_key == holder_key; });
        m_state.m_deposed = m_state.m_deposed || !holder_there;
        check_deposed();
    }
    if (written.m_status != store_status::ok) {
        LOG(WARNING) << log_line{"progress_not_stored"}
                            .with("jobs", last - first)
                            .with("status", static_cast<int>(written.m_status));
        co_return false;
    }
    m_log_revision = written.m_revision;
    for (auto position = first; position < last; ++position) {
        const auto state = stored[position - first].m_state;
        note_progress_stored(m_state, *jobs[position], stored[position - first]);
        if (is_final(state)) {
            const auto& job = *jobs[position];
            LOG(INFO) << log_line{"job_ended"}
                             .with("request", job.m_record.m_id)
                             .with("queue", job.m_record.m_terms.m_queue)
                             .with("state", state_name(state))
                             .with("took_ms", to_ms(job.m_finished - job.m_arrived))
                             .with("objective_ms", to_ms(job.m_deadline - job.m_arrived));
        }
    }
    schedule_pass();
    co_return true;
}

auto decider::flush(const milliseconds limit) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    const auto deadline = monotonic_now() + limit;
    while (m_active && !m_state.m_dirty.empty() && monotonic_now() < deadline) {
        m_progress_wanted.notify();
        co_await sleep_for(m_executor, progress_gap);
    }
}

auto decider::tick(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active) {
        open_due_occurrences(m_state, read_clocks());
        m_state.m_dispatch_wanted = true;
        run_pass();
        for (auto& order : plan_pace(m_state, m_settings.m_pace, monotonic_now())) {
            asio::co_spawn(m_executor, send_pace(self, std::move(order)), asio::detached);
        }
        co_await sleep_for(m_executor, tick_interval);
    }
}

auto decider::schedule_pass() -> void
{
    if (m_pass_scheduled || !m_loaded) {
        return;
    }
    m_pass_scheduled = true;
    asio::co_spawn(m_executor, run_pass_later(shared_from_this()), asio::detached);
}

auto decider::run_pass_later(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    co_await sleep_for(m_executor, pass_delay);
    self->m_pass_scheduled = false;
    run_pass();
}

auto decider::check_deposed() -> void
{
    if (m_state.m_deposed && m_active) {
        LOG(WARNING) << log_line{"deposed"}.with("token", m_term.m_token);
        stop();
        m_deposed();
    }
}

auto decider::log_events() -> void
{
    const auto now = monotonic_now();
    if (now - m_log_window > log_window) {
        if (m_log_lines > log_window_lines) {
            LOG(WARNING) << log_line{"run_events_not_logged"}.with("count", m_log_lines - log_window_lines);
        }
        m_log_window = now;
        m_log_lines = 0;
    }
    for (const auto& event : std::exchange(m_state.m_events, {})) {
        if (++m_log_lines > log_window_lines) {
            continue;
        }
        constexpr const char* names[]{"run_failed", "run_lost", "worker_paused"};
        LOG(INFO) << log_line{names[static_cast<std::size_t>(event.m_kind)]}
                         .with("request", event.m_task.m_job)
                         .with("step", event.m_task.m_step)
                         .with("index", event.m_task.m_index)
                         .with("run", event.m_run)
                         .with("worker", m_state.m_workers[static_cast<std::size_t>(event.m_worker)].m_entry.m_id)
                         .with("failures_in_row", event.m_failures);
    }
}

auto decider::note_renewal() -> void
{
    m_state.m_grant_limit = m_renewed() + m_state.m_settings.m_grant_horizon;
    m_state.m_term_certain_until = m_renewed() + m_settings.m_term_lease;
}

auto decider::run_pass() -> void
{
    if (!m_active) {
        return;
    }
    const auto now = monotonic_now();
    note_renewal();
    expire_runs(m_state, now);
    if (m_state.m_dispatch_wanted) {
        dispatch(m_state, now);
    }
    log_events();
    for (auto& order : std::exchange(m_state.m_starts, {})) {
        asio::co_spawn(m_executor, send_start(shared_from_this(), std::move(order)), asio::detached);
    }
    for (auto& order : std::exchange(m_state.m_stops, {})) {
        asio::co_spawn(m_executor, send_stop(shared_from_this(), std::move(order)), asio::detached);
    }
    if (!m_state.m_dirty.empty()) {
        m_progress_wanted.notify();
    }
}

auto decider::send_start(const std::shared_ptr<decider> self, start_order order) -> asio::awaitable<void>
{
    const auto* job = self->m_active ? find_job(m_state, order.m_task.m_job) : nullptr;
    if (job == nullptr) {
        co_return;
    }
    const auto client = client_of(order.m_worker);
    if (order.m_first_of_job) {
        const auto now = monotonic_now();
        LOG(INFO) << log_line{"job_started"}
                         .with("request", order.m_task.m_job)
                         .with("queue", job->m_record.m_terms.m_queue)
                         .with("waited_ms", to_ms(now - job->m_arrived))
                         .with("left_ms", to_ms(job->m_deadline - now))
                         .with("worker", m_state.m_workers[static_cast<std::size_t>(order.m_worker)].m_entry.m_id);
    }
    run_start start;
    start.m_task = order.m_task;
    start.m_run = order.m_run;
    start.m_text = job->m_record.m_spec.m_text;
    start.m_lease_until_ms = order.m_lease_until_ms;
    start.m_checkpoint = order.m_checkpoint;
    start.m_token = m_term.m_token;
    const auto result = co_await client->start(std::move(start), order_timeout);
    if (!m_active) {
        co_return;
    }
    apply_start_result(m_state, order, result, monotonic_now());
    check_deposed();
    if (result != order_result::accepted) {
        LOG(INFO) << log_line{"start_not_accepted"}
                         .with("request", order.m_task.m_job)
                         .with("step", order.m_task.m_step)
                         .with("index", order.m_task.m_index)
                         .with("worker", m_state.m_workers[static_cast<std::size_t>(order.m_worker)].m_entry.m_id)
                         .with("result", static_cast<int>(result));
        schedule_pass();
    }
}

auto decider::send_stop(const std::shared_ptr<decider> self, stop_order order) -> asio::awaitable<void>
{
    if (!self->m_active) {
        co_return;
    }
    const auto client = client_of(order.m_worker);
    const auto result = co_await client->stop(order.m_task, order.m_run, m_term.m_token, order_timeout);
    if (m_active) {
        apply_stop_result(m_state, order, result, monotonic_now());
        check_deposed();
    }
}

auto decider::send_pace(const std::shared_ptr<decider> self, pace_order order) -> asio::awaitable<void>
{
    if (!self->m_active) {
        co_return;
    }
    const auto client = client_of(order.m_worker);
    const auto result =
        co_await client->set_pace(order.m_task, order.m_run, order.m_percent, m_term.m_token, order_timeout);
    if (m_active) {
        note_pace_result(m_state, order, result);
        check_deposed();
    }
}

auto decider::collect_garbage(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active) {
        co_await sleep_for(m_executor, garbage_interval);
        const auto now = monotonic_now();
        store_write write;
        write.m_conditions.push_back({std::string{holder_key}, m_term.m_revision});
        std::vector<job_id> removed;
        for (const auto& [id, job] : m_state.m_jobs) {
            const bool old = is_final(job->m_stored_state) && !job->m_dirty &&
                             now - job->m_finished > m_settings.m_status_retention + garbage_interval;
            if (old && removed.size() < garbage_jobs) {
                removed.push_back(id);
                write.m_removals.push_back(job_key(id));
                write.m_removals.push_back(cancel_key(id));
                write.m_removals.push_back(progress_key(id));
            }
        }
        if (removed.empty() || !self->m_active) {
            continue;
        }
        const auto written = co_await m_store.write(std::move(write), store_timeout);
        if (written.m_status == store_status::ok) {
            for (const auto& id : removed) {
                m_state.m_jobs.erase(id);
            }
        }
    }
}

} // namespace cicadalug
