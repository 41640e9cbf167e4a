#include <cicadalug/adapter/operator_values.hpp>
#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/decider.hpp>
#include <cicadalug/entry/decider_times.hpp>
#include <cicadalug/entry/read_clocks.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/lease_bounds.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/stored_progress.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

namespace cicadalug {

namespace {

using internal::store_timeout;
using internal::to_ms;

/** @brief Maximum time without any byte of a page, which doubles with each failure up to the longest. */
constexpr milliseconds longest_patience{5'000};

/** @brief Interval of the log lines about a takeover that has not ended. */
constexpr milliseconds slow_takeover_interval{1'000};

/** @brief Returns the number of values with the progress of a job, of which some may be left from an earlier write. */
[[nodiscard]] auto count_progress_keys(const std::map<std::string, std::string>& values, const job_id& id)
    -> std::size_t
{
    std::size_t keys{values.contains(progress_key(id)) ? 1U : 0U};
    while (keys > 0 && values.contains(progress_part_key(id, keys))) {
        ++keys;
    }
    return keys;
}

/** @brief Joins and decodes the values with the progress of a job. @return The progress, or nothing if there is none
 * that can be read. */
[[nodiscard]] auto read_progress(const std::map<std::string, std::string>& values, const job_id& id)
    -> std::optional<job_progress>
{
    const auto first = values.find(progress_key(id));
    if (first == values.end()) {
        return std::nullopt;
    }
    auto bytes = first->second;
    for (std::size_t part = 1; part < count_parts(first->second); ++part) {
        const auto further = values.find(progress_part_key(id, part));
        bytes += further == values.end() ? std::string{} : further->second;
    }
    auto decoded = decode_job_progress(bytes);
    if (!decoded) {
        LOG(ERROR) << log_line{"progress_unreadable"}
                          .with("key", first->first)
                          .with("findings", decoded.assume_error().to_string());
        return std::nullopt;
    }
    return std::move(decoded).assume_value();
}

/** @brief Reads the token and the age of a term. @return Nothing if the value has another form. */
[[nodiscard]] auto parse_term_age(const std::string& value) -> std::optional<std::pair<fencing_token, milliseconds>>
{
    std::istringstream text{value};
    std::uint64_t token{0};
    std::int64_t age_ms{0};
    if (!(text >> token >> age_ms) || age_ms < 0) {
        return std::nullopt;
    }
    return std::pair{fencing_token{token}, milliseconds{age_ms}};
}

[[nodiscard]] auto is_read(const store_read& result) -> bool
{
    return result.m_status == store_status::ok || result.m_status == store_status::missing;
}

} // namespace

auto decider::read_decision_log() -> asio::awaitable<bool>
{
    const auto read = co_await m_store.read(std::string{decision_log_key}, store_timeout);
    const auto leases = co_await m_store.read(std::string{leased_workers_key}, store_timeout);
    const auto vms = co_await m_store.read(std::string{leased_worker_vms_key}, store_timeout);
    const auto incarnations = co_await m_store.read(std::string{leased_worker_incarnations_key}, store_timeout);
    // Deciders of earlier versions list the workers in the decision log itself, after token and sequence number. They
    // also start tasks on workers that no list names.
    m_lease_list_complete = read.m_status == store_status::missing;
    m_state.m_has_predecessor = read.m_status != store_status::missing;
    std::istringstream log{read.m_item.m_value};
    std::istringstream list{leases.m_item.m_value};
    std::string word;
    log >> word >> word;
    for (auto* text : {&log, &list}) {
        while (*text >> word) {
            if (word == complete_list_mark) {
                m_lease_list_complete = true;
            }
            else {
                m_state.m_expected_workers.emplace(word);
            }
        }
    }
    std::istringstream vm_list{vms.m_item.m_value};
    std::string vm;
    while (vm_list >> word >> vm) {
        if (m_state.m_expected_workers.contains(worker_id{word})) {
            m_state.m_expected_vms[worker_id{word}] = vm_id{vm};
        }
    }
    std::istringstream incarnation_list{incarnations.m_item.m_value};
    std::int64_t start_unix_ms{0};
    while (incarnation_list >> word >> start_unix_ms) {
        if (m_state.m_expected_workers.contains(worker_id{word})) {
            m_state.m_expected_incarnations[worker_id{word}] = start_unix_ms;
        }
    }
    m_state.m_expected_listed = !m_state.m_expected_workers.empty();
    co_return is_read(read) && is_read(leases) && is_read(vms) && is_read(incarnations) &&
        co_await read_lease_bounds(leases.m_item.m_revision);
}

auto decider::read_lease_bounds(const store_revision listed) -> asio::awaitable<bool>
{
    const auto stored = co_await m_store.read(std::string{lease_bounds_key}, store_timeout);
    const auto restarted = co_await m_store.read(std::string{restarted_workers_key}, store_timeout);
    const auto age = co_await m_store.read(std::string{term_age_key}, store_timeout);
    if (!is_read(stored) || !is_read(restarted) || !is_read(age)) {
        co_return false;
    }
    const auto elected = *m_state.m_elected;
    if (stored.m_status == store_status::ok && stored.m_item.m_revision == listed) {
        if (const auto bounds = decode_lease_bounds(stored.m_item.m_value)) {
            std::vector<dated_write> writes{{listed, bounds->m_written}};
            if (const auto term = parse_term_age(age.m_item.m_value); term && term->first == bounds->m_token) {
                writes.push_back({age.m_item.m_revision, term->second});
            }
            const auto election = latest_election(*bounds, writes, m_store.revisions(), elected);
            inherit_lease_bounds(m_state, *bounds, election);
            LOG(INFO) << log_line{"lease_bounds_inherited"}
                             .with("token", m_term.m_token)
                             .with("written_by", bounds->m_token)
                             .with("workers", bounds->m_leases.size())
                             .with("election_age_ms", to_ms(elected - election));
            co_return true;
        }
        LOG(ERROR) << log_line{"lease_bounds_unreadable"}.with("bytes", stored.m_item.m_value.size());
    }
    // The last decider was of an earlier version. It has written how long stale leases would last at most.
    std::istringstream list{restarted.m_item.m_value};
    std::string worker;
    std::int64_t left_ms{0};
    const auto longest = 2 * (m_state.m_settings.m_late_call_time + m_state.m_settings.m_longest_lease).count();
    while (list >> worker >> left_ms) {
        const milliseconds left{std::clamp<std::int64_t>(left_ms, 0, longest)};
        m_state.m_expected_leases[worker_id{worker}].m_stale_end = elected + left + m_state.m_settings.m_lease_margin;
    }
    co_return true;
}

auto decider::begin_decision_log() -> asio::awaitable<bool>
{
    // After the first write of a term, all writes of earlier terms fail, including those in flight.
    store_write write;
    write.m_conditions.push_back({std::string{holder_key}, m_term.m_revision});
    write.m_puts.push_back({std::string{decision_log_key}, decision_log_value(m_lease_list_complete), no_store_lease});
    const auto written = co_await m_store.write(std::move(write), store_timeout);
    if (written.m_status == store_status::conflict) {
        m_state.m_deposed = true;
    }
    if (written.m_status == store_status::ok) {
        m_decision_log_revision = written.m_revision;
        record_term_write(m_state, written.m_revision);
    }
    co_return written.m_status == store_status::ok;
}

auto decider::read_pages(const std::string_view prefix, paged_read& read) -> asio::awaitable<bool>
{
    const auto pages = read.m_pages;
    if (!read.m_complete) {
        const auto patience = m_load_backoff.scaled(store_timeout, longest_patience);
        const auto status = co_await m_store.read_pages(std::string{prefix}, read, patience);
        if (read.m_pages > pages) {
            m_load_backoff.reset();
            record_progress(m_takeover, monotonic_now());
        }
        co_return status == store_status::ok;
    }
    co_return true;
}

auto decider::apply_stored_jobs(const bool recovered) -> void
{
    std::map<std::string, std::string> values;
    for (auto& item : std::exchange(m_progress_pages, {}).m_items) {
        values.emplace(std::move(item.m_key), std::move(item.m_value));
    }
    const auto jobs = std::exchange(m_job_pages, {});
    m_jobs_revision = std::max(m_jobs_revision, jobs.m_revision);
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
        const auto id = record.assume_value().m_id;
        const auto progress = read_progress(values, id);
        add_job(m_state, std::move(record).assume_value(), progress, recovered, clock);
        if (const auto keys = count_progress_keys(values, id); keys > 0) {
            find_job(m_state, id)->m_progress_keys = keys;
        }
    }
    for (const auto& item : jobs.m_items) {
        if (const auto id = cancelled_job(item.m_key)) {
            apply_cancel(*id, item.m_value, clock);
        }
    }
    record_jobs_read(jobs.m_sent);
}

auto decider::reload_jobs() -> asio::awaitable<bool>
{
    // A page may contain a job that is being removed, which would be added again without its progress.
    if (m_removing_jobs) {
        co_return false;
    }
    m_reloading_jobs = true;
    const bool read = co_await read_pages(job_prefix, m_job_pages);
    if (read) {
        apply_stored_jobs(false);
        m_reloading_jobs = false;
    }
    co_return read;
}

auto decider::pause_after_reload(const bool reloaded) -> asio::awaitable<void>
{
    if (reloaded) {
        m_load_backoff.reset();
    }
    else {
        co_await sleep_for(m_executor, m_load_backoff.next_pause());
    }
}

auto decider::load_workers() -> asio::awaitable<bool>
{
    const bool read = co_await read_pages(worker_prefix, m_worker_pages);
    if (!read) {
        co_return false;
    }
    const auto pages = std::exchange(m_worker_pages, {});
    m_workers_revision = std::max(m_workers_revision, pages.m_revision);
    m_registry.clear();
    for (const auto& item : pages.m_items) {
        apply_worker_entry(item.m_key, item.m_value);
    }
    std::erase_if(m_unusable_entries, [&pages](const auto& logged) {
        return std::none_of(pages.m_items.begin(), pages.m_items.end(),
                            [&logged](const store_item& item) { return item.m_key == logged.first; });
    });
    record_workers_read(pages.m_sent);
    apply_workers();
    co_return true;
}

auto decider::do_takeover_step() -> asio::awaitable<bool>
{
    switch (m_takeover.m_step) {
    case takeover_step::read_decision_log:
        co_return co_await read_decision_log();
    case takeover_step::begin_decision_log:
        co_return co_await begin_decision_log();
    case takeover_step::read_jobs:
        co_return co_await read_pages(job_prefix, m_job_pages);
    case takeover_step::read_progress: {
        const bool read = co_await read_pages(progress_prefix, m_progress_pages);
        if (read) {
            apply_stored_jobs(true);
        }
        co_return read;
    }
    case takeover_step::read_workers: {
        m_state.m_began = monotonic_now();
        const bool read = co_await load_workers();
        if (read && !m_lease_list_complete) {
            for (const auto& worker : m_state.m_workers) {
                m_state.m_expected_workers.insert(worker.m_entry.m_id);
            }
        }
        co_return read;
    }
    case takeover_step::done:
        break;
    }
    co_return true;
}

auto decider::load(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active && m_takeover.m_step != takeover_step::done) {
        const bool succeeded = co_await do_takeover_step();
        if (succeeded) {
            complete_step(m_takeover, monotonic_now());
            m_load_backoff.reset();
            continue;
        }
        count_failure(m_takeover);
        if (is_stalled(m_takeover, monotonic_now()) && !m_state.m_deposed) {
            LOG(ERROR) << log_line{"takeover_given_up"}
                              .with("token", m_term.m_token)
                              .with("step", name_of(m_takeover.m_step))
                              .with("failures", m_takeover.m_step_failures);
            m_state.m_deposed = true;
        }
        check_deposed();
        co_await sleep_for(m_executor, m_load_backoff.next_pause());
    }
    if (!m_active) {
        co_return;
    }
    m_loaded = true;
    LOG(INFO) << log_line{"takeover"}
                     .with("token", m_term.m_token)
                     .with("jobs", m_state.m_jobs.size())
                     .with("workers", m_state.m_workers.size())
                     .with("expected", m_state.m_expected_workers.size())
                     .with("restarted",
                           std::count_if(m_state.m_expected_leases.begin(), m_state.m_expected_leases.end(),
                                         [](const auto& lease) { return lease.second.m_stale_end.has_value(); }))
                     .with("renewal_age_ms", to_ms(monotonic_now() - m_last_renewal()))
                     .with("failures", m_takeover.m_failures)
                     .with("jobs_ms", to_ms(duration_of(m_takeover, takeover_step::read_jobs)))
                     .with("progress_ms", to_ms(duration_of(m_takeover, takeover_step::read_progress)))
                     .with("workers_ms", to_ms(duration_of(m_takeover, takeover_step::read_workers)))
                     .with("took_ms", to_ms(monotonic_now() - m_takeover.m_began));
    run_in_term(watch_jobs(self), "watch_jobs");
    run_in_term(watch_workers(self), "watch_workers");
    run_in_term(store_progress(self), "store_progress");
    run_in_term(tick(self), "tick");
    run_in_term(collect_garbage(self), "collect_garbage");
    start_fleet_controller();
}

auto decider::report_slow_takeover(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    for (;;) {
        co_await sleep_for(m_executor, slow_takeover_interval);
        if (!self->m_active || m_loaded) {
            co_return;
        }
        LOG(WARNING) << log_line{"takeover_slow"}
                            .with("token", m_term.m_token)
                            .with("step", name_of(m_takeover.m_step))
                            .with("age_ms", to_ms(monotonic_now() - m_takeover.m_began))
                            .with("failures", m_takeover.m_failures)
                            .with("step_failures", m_takeover.m_step_failures)
                            .with("job_pages", m_job_pages.m_pages)
                            .with("progress_pages", m_progress_pages.m_pages)
                            .with("worker_pages", m_worker_pages.m_pages);
    }
}

} // namespace cicadalug
