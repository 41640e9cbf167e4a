#include <cicadalug/scheduler/worker_fence.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

auto try_raise(scheduler_state& state, const worker_index index) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    const fencing_token next{fence_of(state, worker).value() + 1};
    worker.m_awaits_fence = next > state.m_fence_limit;
    if (!worker.m_awaits_fence) {
        worker.m_fence = next;
        state.m_fence_announcements.push_back(index);
        state.m_dispatch_requested = true;
    }
}

} // namespace

auto fence_of(const scheduler_state& state, const worker_slot& worker) -> fencing_token
{
    return std::max(state.m_token, worker.m_fence);
}

auto raise_fence(scheduler_state& state, const worker_index index, const std::int64_t incarnation_start_unix_ms) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    if (worker.m_fenced_incarnation_unix_ms != incarnation_start_unix_ms) {
        worker.m_fenced_incarnation_unix_ms = incarnation_start_unix_ms;
        try_raise(state, index);
    }
}

auto record_term_write(scheduler_state& state, const store_revision revision) -> void
{
    state.m_fence_limit = std::max(state.m_fence_limit, fencing_token{revision.value()});
    for (const auto index : state.m_current_workers) {
        if (state.m_workers[static_cast<std::size_t>(index)].m_awaits_fence) {
            try_raise(state, index);
        }
    }
}

auto has_worker_without_fence(const scheduler_state& state) -> bool
{
    return std::any_of(
        state.m_current_workers.begin(), state.m_current_workers.end(),
        [&state](const worker_index index) { return state.m_workers[static_cast<std::size_t>(index)].m_awaits_fence; });
}

auto settle_fenced(const scheduler_state& state, const worker_index index, const fencing_token token,
                   const command_result result) -> command_result
{
    const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    return result == command_result::fenced && token < fence_of(state, worker) ? command_result::withdrawn : result;
}

auto is_start_fenced(const placed_run& run, const worker_report& report) -> bool
{
    const bool sent = run.m_start_until_ms > 0;
    return sent && !run.m_confirmed && run.m_token < report.m_token;
}

} // namespace cicadalug
