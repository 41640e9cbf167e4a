#include <cicadalug/entry/decider_times.hpp>
#include <cicadalug/entry/wait_line.hpp>

#include <string_view>
#include <utility>

namespace cicadalug {

namespace {

using internal::to_ms;

[[nodiscard]] auto with_count(log_line line, const std::string_view name, const std::int64_t count) -> log_line
{
    return count == 0 ? std::move(line) : std::move(line).with(name, count);
}

[[nodiscard]] auto with_awaited(log_line line, const task_wait& wait) -> log_line
{
    return std::move(line)
        .with("awaited", *wait.m_awaited)
        .with("awaited_left_ms", to_ms(wait.m_awaited_left))
        .with("awaited_for", name_of(wait.m_awaited_bound));
}

} // namespace

auto make_wait_line(const task_wait& wait, const fencing_token token) -> log_line
{
    auto line = log_line{"task_waiting"}
                    .with("request", wait.m_task.m_job)
                    .with("step", wait.m_task.m_step)
                    .with("index", wait.m_task.m_index)
                    .with("waited_ms", to_ms(wait.m_waited))
                    .with("cause", name_of(wait.m_cause))
                    .with("token", token);
    line = with_count(std::move(line), "able", wait.m_workers.front());
    for (std::size_t obstacle = 1; obstacle < wait.m_workers.size(); ++obstacle) {
        const auto name = name_of(static_cast<worker_obstacle>(obstacle));
        line = with_count(std::move(line), name, wait.m_workers[obstacle]);
    }
    line = with_count(std::move(line), "overcommitted", wait.m_overcommitted);
    line = with_count(std::move(line), "unreported", wait.m_unreported);
    line = with_count(std::move(line), "expected", wait.m_expected);
    if (wait.m_awaited) {
        line = with_awaited(std::move(line), wait);
    }
    if (wait.m_pause_left) {
        line = with_count(std::move(line), "pause_left_ms", to_ms(*wait.m_pause_left));
    }
    if (wait.m_opening) {
        line = with_count(std::move(line), "opening_ms", to_ms(*wait.m_opening));
    }
    return line;
}

} // namespace cicadalug
