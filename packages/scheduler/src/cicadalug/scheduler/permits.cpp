#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/permits.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Workers named in one question. The users reckon with one question on 30 workers for each step. */
constexpr std::size_t workers_of_question{30};

/** @brief Pause after a question without an answer. */
constexpr milliseconds question_pause{250};

/** @brief A permit is not used when it ends within this time: the start has to arrive before. */
constexpr milliseconds start_margin{150};

[[nodiscard]] auto find_open_step(scheduler_state& state, const task_ref& task) -> step_state*
{
    auto* job = find_job(state, task.m_job);
    return job == nullptr ? nullptr : find_step(*job, task);
}

/** @brief Checks whether the service has refused the step on this life of a worker. */
[[nodiscard]] auto is_refused(const step_state& step, const worker_slot& worker, const worker_index index) -> bool
{
    const auto known = step.m_permits.find(index);
    return known != step.m_permits.end() && known->second.m_text.empty() &&
           known->second.m_incarnation_start_unix_ms == worker.m_incarnation_start_unix_ms;
}

} // namespace

auto has_permit(const step_state& step, const worker_slot& worker, const worker_index index, const time_point now)
    -> bool
{
    const auto known = step.m_permits.find(index);
    return known != step.m_permits.end() && !known->second.m_text.empty() &&
           known->second.m_incarnation_start_unix_ms == worker.m_incarnation_start_unix_ms &&
           now + start_margin < known->second.m_valid_until;
}

auto request_permits(scheduler_state& state, const task_ref& task, step_state& step,
                     const std::vector<worker_index>& candidates, const time_point now) -> void
{
    if (step.m_permits_asked || now < step.m_permits_not_before) {
        return;
    }
    const auto& spec = step_of(*find_job(state, task.m_job), task);
    const auto demand = reserved_demand(spec);
    std::vector<worker_index> asked;
    for (const auto index : candidates) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        if (!is_refused(step, worker, index) && !has_permit(step, worker, index, now) &&
            has_required_label(spec, worker) && fits(demand, worker.m_entry.m_capacity - worker.m_used)) {
            asked.push_back(index);
        }
    }
    if (asked.empty()) {
        return;
    }
    std::stable_sort(asked.begin(), asked.end(), [&state](const worker_index left, const worker_index right) {
        const auto room = [&state](const worker_index index) {
            const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
            return (worker.m_entry.m_capacity - worker.m_used).m_cpu;
        };
        return room(left) > room(right);
    });
    asked.resize(std::min(asked.size(), workers_of_question));
    step.m_permits_asked = true;
    permit_request request{task, {}};
    for (const auto index : asked) {
        request.m_workers.push_back(
            {index, state.m_workers[static_cast<std::size_t>(index)].m_incarnation_start_unix_ms});
    }
    state.m_permit_requests.push_back(std::move(request));
}

auto apply_permit_response(scheduler_state& state, const permit_request& request,
                           const std::optional<permit_response>& answer, const time_point asked, const time_point now)
    -> void
{
    auto* step = find_open_step(state, request.m_step);
    if (step == nullptr) {
        return;
    }
    step->m_permits_asked = false;
    state.m_dispatch_requested = true;
    if (!answer) {
        step->m_permits_not_before = now + question_pause;
        return;
    }
    for (const auto& [index, born] : request.m_workers) {
        const auto& id = state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id;
        const auto granted = std::find_if(answer->m_granted.begin(), answer->m_granted.end(),
                                          [&id](const granted_permit& permit) { return permit.m_worker == id; });
        const auto text = granted == answer->m_granted.end() ? std::string{} : granted->m_text;
        step->m_permits[index] = {text, born, asked + answer->m_validity};
    }
}

auto drop_permit(scheduler_state& state, const task_ref& task, const worker_index index) -> void
{
    if (auto* step = find_open_step(state, task)) {
        step->m_permits.erase(index);
    }
}

} // namespace cicadalug
