#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/decider.hpp>
#include <cicadalug/entry/decider_times.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/end_acknowledgement.hpp>
#include <cicadalug/scheduler/job_estimates.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/progress_batch.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/stored_progress.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

using internal::failure_pause;
using internal::store_timeout;
using internal::tick_interval;
using internal::to_ms;

/** @brief Delay after each write of progress, so that progress within this time shares a write. */
constexpr milliseconds progress_gap{12};

/** @brief Maximum number of jobs in one write; the other entries are the conditions on the term and on the decision
 * log, and the puts of the decision log, of the leased workers, their incarnations, their VMs and the ends of their
 * leases, of the restarted workers, and of the age of the term. */
constexpr std::size_t progress_jobs{store_write_entries - 9};

/** @brief Minimum time between two writes of the list of leased workers for leases that have ended. */
constexpr milliseconds lease_list_interval{1'000};

/** @brief Minimum time between two writes of the list for workers that have ceased to respond: short, as a successor
 * waits longer without the ends of their leases. */
constexpr milliseconds lease_end_interval{200};

/** @brief Time between two writes of the age of the term: a takeover by a new process prolongs stored waits by up to
 * it. */
constexpr milliseconds term_age_interval{250};

/** @brief Maximum time between two writes of the list while it gives ends of leases. Successors of earlier versions
 * count the time left of stale leases from their own election. */
constexpr milliseconds restarted_list_interval{2'000};

/** @brief Jobs whose progress the store has refused are written again at this interval, each alone. */
constexpr milliseconds refused_job_interval{1'000};

/** @brief Jobs whose final state has been kept long enough are removed at this interval, a few in one write. */
constexpr milliseconds garbage_interval{2'000};

} // namespace

auto decider::decision_log_value(const bool lease_list_complete) const -> std::string
{
    const auto value = std::to_string(m_term.m_token.value()) + ' ' + std::to_string(m_decision_log_sequence);
    return lease_list_complete ? value + ' ' + std::string{complete_list_mark} : value;
}

auto decider::leased_workers_value(const std::vector<worker_index>& leased) const -> std::string
{
    const auto now = monotonic_now();
    std::string text;
    for (const auto index : leased) {
        text += m_state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id.str() + ' ';
    }
    for (const auto& worker : awaited_workers(m_state, now)) {
        text += worker.str() + ' ';
    }
    return text;
}

auto decider::restarted_workers_value(const std::vector<worker_index>& leased) const -> std::string
{
    std::string text;
    for (const auto& [worker, left] : restarted_workers(m_state, leased, monotonic_now())) {
        text += worker.str() + ' ' + std::to_string(left.count()) + ' ';
    }
    return text;
}

auto decider::leased_worker_incarnations_value(const std::vector<worker_index>& leased) const -> std::string
{
    std::string text;
    for (const auto& [worker, start_unix_ms] : incarnations_of_listed_workers(m_state, leased, monotonic_now())) {
        text += worker.str() + ' ' + std::to_string(start_unix_ms) + ' ';
    }
    return text;
}

auto decider::leased_worker_vms_value(const std::vector<worker_index>& leased) const -> std::string
{
    std::string text;
    const bool lists_expected = are_expected_workers_listed(m_state, monotonic_now());
    for (const auto& [worker, vm] : vms_of_listed_workers(m_state, leased, lists_expected)) {
        text += worker.str() + ' ' + vm.str() + ' ';
    }
    return text;
}

auto decider::is_lease_list_due(const time_point now) const -> bool
{
    return has_unlisted_lease(m_state, now) || (m_vms_unlisted && now - m_vms_listed_at > lease_list_interval) ||
           (now - m_leases_listed_at > lease_list_interval && has_ended_lease_in_list(m_state, now)) ||
           (now - m_leases_listed_at > lease_end_interval && has_unlisted_end(m_state, now)) ||
           (now - m_leases_listed_at > restarted_list_interval &&
            !lease_bounds_of(m_state, m_state.m_current_workers, now).m_leases.empty());
}

auto decider::is_term_age_due(const time_point now) const -> bool
{
    return m_ends_stored && now - m_age_written_at > term_age_interval;
}

auto decider::store_progress(const std::shared_ptr<decider> self) -> asio::awaitable<void>
{
    while (self->m_active) {
        co_await m_progress_event.wait(tick_interval);
        if (!m_active) {
            co_return;
        }
        if (!m_refused_jobs.empty() && monotonic_now() - m_refused_retried_at > refused_job_interval) {
            co_await retry_refused_jobs();
        }
        if (m_state.m_dirty.empty() && !is_lease_list_due(monotonic_now()) && !is_term_age_due(monotonic_now()) &&
            !has_worker_without_fence(m_state)) {
            acknowledge_ends(m_state);
            continue;
        }
        const bool written = co_await write_dirty_jobs();
        if (!written) {
            co_await sleep_for(m_executor, failure_pause);
        }
        co_await sleep_for(m_executor, progress_gap);
    }
}

auto decider::write_dirty_jobs() -> asio::awaitable<bool>
{
    auto remaining = std::exchange(m_state.m_dirty, {});
    for (auto* job : remaining) {
        job->m_dirty = false;
    }
    // Without jobs, the list of leased workers is written alone.
    do {
        const bool written = co_await write_jobs(take_progress_batch(remaining, m_state, progress_jobs));
        if (!written) {
            for (auto* job : remaining) {
                mark_dirty(m_state, *job);
            }
            acknowledge_ends(m_state);
            co_return false;
        }
    } while (!remaining.empty());
    acknowledge_ends(m_state);
    co_return true;
}

auto decider::ranges_of(std::vector<job_entry*>& jobs) const -> std::vector<job_range>
{
    const auto first_large = std::stable_partition(jobs.begin(), jobs.end(), [this](const job_entry* job) {
        return !may_need_parts(job->m_record, job->m_open.size(), m_state.m_settings.m_value_bytes);
    });
    const auto small = static_cast<std::size_t>(first_large - jobs.begin());
    std::vector<job_range> ranges;
    for (auto position = small; position < jobs.size(); ++position) {
        ranges.push_back({position, position + 1});
    }
    // The last range is written first. Without jobs, it is the write of the list of leased workers.
    if (small > 0 || ranges.empty()) {
        ranges.push_back({0, small});
    }
    return ranges;
}

auto decider::put_progress(store_write& write, job_entry& job, const job_progress& progress) const -> void
{
    const auto& id = job.m_record.m_id;
    auto encoded = encode_parts(progress, m_state.m_settings.m_value_bytes);
    if (encoded.m_dropped_checkpoints > 0) {
        LOG(WARNING) << log_line{"checkpoints_not_stored"}
                            .with("request", id)
                            .with("checkpoints", encoded.m_dropped_checkpoints);
    }
    for (std::size_t part = 0; part < encoded.m_parts.size(); ++part) {
        write.m_puts.push_back({part == 0 ? progress_key(id) : progress_part_key(id, part),
                                std::move(encoded.m_parts[part]), no_store_lease});
    }
    // Even a write without a response may have been carried out.
    job.m_progress_keys = std::max(job.m_progress_keys, encoded.m_parts.size());
}

auto decider::write_jobs(std::vector<job_entry*> jobs) -> asio::awaitable<bool>
{
    auto ranges = ranges_of(jobs);
    while (!ranges.empty()) {
        const auto range = ranges.back();
        ranges.pop_back();
        auto status = co_await write_progress(jobs, range.m_first, range.m_last);
        if (status == store_status::rejected && range.m_last > range.m_first) {
            // If the store accepts a write without jobs, it refuses one of the jobs.
            status = co_await write_progress(jobs, range.m_first, range.m_first);
            if (status == store_status::ok) {
                const auto middle = range.m_first + (range.m_last - range.m_first) / 2;
                if (middle == range.m_first) {
                    set_aside(*jobs[range.m_first]);
                }
                else {
                    ranges.push_back({middle, range.m_last});
                    ranges.push_back({range.m_first, middle});
                }
                continue;
            }
        }
        if (status != store_status::ok) {
            ranges.push_back(range);
            for (const auto& left : ranges) {
                for (auto position = left.m_first; position < left.m_last; ++position) {
                    mark_dirty(m_state, *jobs[position]);
                }
            }
            co_return false;
        }
    }
    co_return true;
}

auto decider::set_aside(job_entry& job) -> void
{
    LOG(ERROR) << log_line{"progress_refused"}.with("request", job.m_record.m_id);
    // A job that has changed since would be refused again in the next write, together with others.
    std::erase(m_state.m_dirty, &job);
    job.m_dirty = true;
    job.m_refused = true;
    m_refused_jobs.push_back(&job);
}

auto decider::retry_refused_jobs() -> asio::awaitable<void>
{
    m_refused_retried_at = monotonic_now();
    const auto jobs = std::exchange(m_refused_jobs, {});
    for (std::size_t position = 0; position < jobs.size(); ++position) {
        jobs[position]->m_dirty = false;
        const auto status = co_await write_progress(jobs, position, position + 1);
        if (status != store_status::ok) {
            set_aside(*jobs[position]);
        }
    }
}

auto decider::write_progress(const std::vector<job_entry*>& jobs, const std::size_t first, const std::size_t last)
    -> asio::awaitable<store_status>
{
    store_write write;
    write.m_conditions.push_back({std::string{holder_key}, m_term.m_revision});
    write.m_conditions.push_back({std::string{decision_log_key}, m_decision_log_revision});
    ++m_decision_log_sequence;
    // The list takes 13 bytes a worker; in each write, it would cost more than the progress itself.
    const auto now = monotonic_now();
    std::vector<worker_index> leased;
    const bool lists_leases = is_lease_list_due(now);
    const bool lists_expected = are_expected_workers_listed(m_state, now);
    write.m_puts.push_back(
        {std::string{decision_log_key}, decision_log_value(lists_leases || m_lease_list_complete), no_store_lease});
    if (lists_leases) {
        leased = begin_lease_list(m_state, now);
        m_leases_listed_at = now;
        write.m_puts.push_back({std::string{leased_workers_key}, leased_workers_value(leased), no_store_lease});
        write.m_puts.push_back({std::string{restarted_workers_key}, restarted_workers_value(leased), no_store_lease});
        const auto bounds = lease_bounds_of(m_state, leased, now);
        m_ends_stored = !bounds.m_leases.empty();
        write.m_puts.push_back({std::string{lease_bounds_key}, encode(bounds), no_store_lease});
        // The VM of a worker never changes, and one that is not listed yet only lengthens the wait of a successor. An
        // incarnation rarely changes, and each takes 27 bytes.
        m_vms_unlisted = now - m_vms_listed_at <= lease_list_interval;
        if (!m_vms_unlisted) {
            m_vms_listed_at = now;
            write.m_puts.push_back(
                {std::string{leased_worker_vms_key}, leased_worker_vms_value(leased), no_store_lease});
            write.m_puts.push_back({std::string{leased_worker_incarnations_key},
                                    leased_worker_incarnations_value(leased), no_store_lease});
        }
    }
    if (is_term_age_due(now)) {
        m_age_written_at = now;
        const auto age = std::chrono::floor<milliseconds>(now - *m_state.m_elected);
        write.m_puts.push_back({std::string{term_age_key},
                                std::to_string(m_term.m_token.value()) + ' ' + std::to_string(age.count()),
                                no_store_lease});
    }
    std::vector<job_progress> stored;
    for (auto position = first; position < last; ++position) {
        stored.push_back(progress_of(*jobs[position]));
        put_progress(write, *jobs[position], stored.back());
    }
    const auto written = co_await m_store.write(std::move(write), store_timeout);
    if (written.m_status == store_status::conflict) {
        for (const auto& item : written.m_current) {
            if (item.m_key == holder_key && item.m_revision != m_term.m_revision) {
                m_state.m_deposed = true;
            }
            // An earlier write whose response was lost has been applied; this one has not.
            if (item.m_key == decision_log_key) {
                m_decision_log_revision = item.m_revision;
            }
        }
        const bool holder_there = std::any_of(written.m_current.begin(), written.m_current.end(),
                                              [](const store_item& item) { return item.m_key == holder_key; });
        m_state.m_deposed = m_state.m_deposed || !holder_there;
        check_deposed();
    }
    if (written.m_status != store_status::ok) {
        m_vms_unlisted = m_vms_unlisted || lists_leases;
        LOG(WARNING) << log_line{"progress_not_stored"}
                            .with("jobs", last - first)
                            .with("status", static_cast<int>(written.m_status));
        co_return written.m_status;
    }
    m_decision_log_revision = written.m_revision;
    record_term_write(m_state, written.m_revision);
    complete_lease_list(m_state, leased);
    m_lease_list_complete = m_lease_list_complete || lists_leases;
    m_state.m_expected_listed = lists_leases ? lists_expected : m_state.m_expected_listed;
    // The jobs of one write are one sample.
    bool learned{false};
    for (auto position = first; position < last; ++position) {
        const auto state = stored[position - first].m_state;
        const bool was_final = is_final(jobs[position]->m_stored_state);
        apply_stored_progress(m_state, *jobs[position], stored[position - first]);
        if (is_final(state) && !was_final) {
            const auto& job = *jobs[position];
            if (state == job_state::completed && !std::exchange(learned, true)) {
                learn_storing_time(m_state, job, monotonic_now());
            }
            LOG(INFO) << log_line{"job_ended"}
                             .with("request", job.m_record.m_id)
                             .with("queue", job.m_record.m_policy.m_queue)
                             .with("state", state_name(state))
                             .with("took_ms", to_ms(job.m_finished - job.m_arrived))
                             .with("objective_ms", to_ms(job.m_deadline - job.m_arrived));
            record_job_end(job, monotonic_now());
        }
    }
    schedule_pass();
    co_return store_status::ok;
}

auto decider::flush(const milliseconds limit) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    const auto deadline = monotonic_now() + limit;
    while (m_active && !m_state.m_dirty.empty() && monotonic_now() < deadline) {
        m_progress_event.notify();
        co_await sleep_for(m_executor, progress_gap);
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
            if (old && write.m_removals.size() + 2 + job->m_progress_keys < store_write_entries) {
                removed.push_back(id);
                write.m_removals.push_back(job_key(id));
                write.m_removals.push_back(cancel_key(id));
                write.m_removals.push_back(progress_key(id));
                for (std::size_t part = 1; part < job->m_progress_keys; ++part) {
                    write.m_removals.push_back(progress_part_key(id, part));
                }
            }
        }
        const auto early = old_early_cancels(m_state, now - m_settings.m_status_retention - garbage_interval,
                                             store_write_entries - write.m_conditions.size() - write.m_removals.size());
        for (const auto& id : early) {
            write.m_removals.push_back(cancel_key(id));
        }
        if (write.m_removals.empty() || !self->m_active || m_reloading_jobs) {
            continue;
        }
        m_removing_jobs = true;
        const auto written = co_await m_store.write(std::move(write), store_timeout);
        m_removing_jobs = false;
        if (written.m_status == store_status::ok) {
            for (const auto& id : removed) {
                m_state.m_jobs.erase(id);
            }
            for (const auto& id : early) {
                m_state.m_early_cancels.erase(id);
            }
        }
    }
}

} // namespace cicadalug
