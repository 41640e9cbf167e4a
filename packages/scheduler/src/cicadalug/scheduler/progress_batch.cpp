#include <cicadalug/scheduler/progress_batch.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Moves jobs whose write is awaited from a list to a batch, until it has a number of jobs. */
auto take_awaited(std::vector<job_entry*>& from, std::vector<job_entry*>& batch, const std::size_t limit) -> void
{
    std::erase_if(from, [&](job_entry* job) {
        const bool taken = batch.size() < limit && awaits_write(*job);
        if (taken) {
            batch.push_back(job);
        }
        return taken;
    });
}

/** @brief Moves jobs from the front of a list to a batch, until it has a number of jobs. */
auto take_first(std::vector<job_entry*>& from, std::vector<job_entry*>& batch, const std::size_t limit) -> void
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(from.size(), limit - std::min(limit, batch.size())));
    batch.insert(batch.end(), from.begin(), from.begin() + count);
    from.erase(from.begin(), from.begin() + count);
}

/** @brief Takes the jobs of a batch from a position on out of the changed jobs: their present progress is written. */
auto clear_dirty(scheduler_state& state, const std::vector<job_entry*>& batch, const std::size_t first) -> void
{
    for (auto position = first; position < batch.size(); ++position) {
        if (std::exchange(batch[position]->m_dirty, false)) {
            std::erase(state.m_dirty, batch[position]);
        }
    }
}

} // namespace

auto awaits_write(const job_entry& job) -> bool
{
    if (is_final(job.m_state)) {
        return !is_final(job.m_stored_state);
    }
    return std::any_of(job.m_open.begin(), job.m_open.end(), [](const occurrence_state& occurrence) {
        return std::any_of(occurrence.m_steps.begin(), occurrence.m_steps.end(), [](const step_state& step) {
            return (step.m_opening && !step.m_opened) ||
                   std::any_of(step.m_tasks.begin(), step.m_tasks.end(),
                               [](const task_state& task) { return task.m_trial.has_value(); });
        });
    });
}

auto take_progress_batch(std::vector<job_entry*>& remaining, scheduler_state& state, const std::size_t limit)
    -> std::vector<job_entry*>
{
    std::vector<job_entry*> batch;
    batch.reserve(limit);
    take_first(remaining, batch, limit / 4);
    take_awaited(remaining, batch, limit);
    clear_dirty(state, batch, 0);
    const auto known = batch.size();
    take_awaited(state.m_dirty, batch, limit);
    for (auto position = known; position < batch.size(); ++position) {
        batch[position]->m_dirty = false;
        std::erase(remaining, batch[position]);
    }
    const auto awaited = batch.size();
    take_first(remaining, batch, limit);
    clear_dirty(state, batch, awaited);
    return batch;
}

} // namespace cicadalug
