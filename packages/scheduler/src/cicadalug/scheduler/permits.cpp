#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/permits.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Maximum number of workers in one request. The users expect one request for 30 workers for each step. */
constexpr std::size_t max_workers_per_request{30};

/** @brief Delay before a request without a response is repeated. */
constexpr milliseconds request_retry_delay{250};

/** @brief A permit that expires within this time is not used, as the start has to arrive before its end. */
constexpr milliseconds start_margin{150};

[[nodiscard]] auto find_open_step(scheduler_state& state, const task_ref& task) -> step_state*
{
    auto* job = find_job(state, task.m_job);
    return job == nullptr ? nullptr : find_step(*job, task);
}

/** @brief Checks whether the permit service has refused the step on this incarnation of a worker. */
[[nodiscard]] auto is_refused(const step_state& step, const worker_slot& worker, const worker_index index) -> bool
{
    const auto found = step.m_permits.find(index);
    return found != step.m_permits.end() && found->second.m_text.empty() &&
           found->second.m_incarnation_start_unix_ms == worker.m_incarnation_start_unix_ms;
}

} // namespace

auto has_permit(const step_state& step, const worker_slot& worker, const worker_index index, const time_point now)
    -> bool
{
    const auto found = step.m_permits.find(index);
    return found != step.m_permits.end() && !found->second.m_text.empty() &&
           found->second.m_incarnation_start_unix_ms == worker.m_incarnation_start_unix_ms &&
           now + start_margin < found->second.m_valid_until;
}

auto request_permits(scheduler_state& state, const task_ref& task, step_state& step,
                     const std::vector<worker_index>& candidates, const time_point now) -> void
{
    if (step.m_permits_requested || now < step.m_permits_not_before) {
        return;
    }
    const auto& spec = step_of(*find_job(state, task.m_job), task);
    const auto demand = reserved_demand(spec);
    std::vector<worker_index> selected;
    for (const auto index : candidates) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        if (!is_refused(step, worker, index) && !has_permit(step, worker, index, now) &&
            has_required_label(spec, worker) && fits(demand, worker.m_entry.m_capacity - worker.m_used)) {
            selected.push_back(index);
        }
    }
    if (selected.empty()) {
        return;
    }
    std::stable_sort(selected.begin(), selected.end(), [&state](const worker_index left, const worker_index right) {
        const auto free_cpu = [&state](const worker_index index) {
            const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
            return (worker.m_entry.m_capacity - worker.m_used).m_cpu;
        };
        return free_cpu(left) > free_cpu(right);
    });
    selected.resize(std::min(selected.size(), max_workers_per_request));
    step.m_permits_requested = true;
    permit_request request{task, {}};
    for (const auto index : selected) {
        request.m_workers.push_back(
            {index, state.m_workers[static_cast<std::size_t>(index)].m_incarnation_start_unix_ms});
    }
    state.m_permit_requests.push_back(std::move(request));
}

auto apply_permit_response(scheduler_state& state, const permit_request& request,
                           const std::optional<permit_response>& response, const time_point sent, const time_point now)
    -> void
{
    auto* step = find_open_step(state, request.m_step);
    if (step == nullptr) {
        return;
    }
    step->m_permits_requested = false;
    state.m_dispatch_requested = true;
    if (!response) {
        step->m_permits_not_before = now + request_retry_delay;
        return;
    }
    for (const auto& [index, incarnation_start] : request.m_workers) {
        const auto& id = state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id;
        const auto granted = std::find_if(response->m_granted.begin(), response->m_granted.end(),
                                          [&id](const granted_permit& permit) { return permit.m_worker == id; });
        const auto text = granted == response->m_granted.end() ? std::string{} : granted->m_text;
        step->m_permits[index] = {text, incarnation_start, sent + response->m_validity};
    }
}

auto drop_permit(scheduler_state& state, const task_ref& task, const worker_index index) -> void
{
    if (auto* step = find_open_step(state, task)) {
        step->m_permits.erase(index);
    }
}

} // namespace cicadalug
