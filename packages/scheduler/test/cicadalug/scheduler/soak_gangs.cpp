#include "soak_gangs.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace cicadalug::test {

namespace {

/** @brief A member ends after this time if the others have not come. */
constexpr milliseconds gang_timeout{3'000};

/** @brief One gang in this many fails. */
constexpr std::int64_t gangs_per_failure{12};

struct member {
    soak_worker* m_worker;
    task_ref m_task;
};

[[nodiscard]] auto position_of(const member& member, const run_number run) -> std::size_t
{
    const auto& runs = member.m_worker->m_runs;
    return static_cast<std::size_t>(
        std::find_if(runs.begin(), runs.end(),
                     [&](const soak_run& other) { return other.m_run == run && other.m_task == member.m_task; }) -
        runs.begin());
}

auto begin_work(const std::vector<member>& members, const run_number number, soak_random& random, const time_point now)
    -> void
{
    const auto work = random.time(400, 1'600);
    const bool fails = random.number(gangs_per_failure) == 0;
    for (const auto& member : members) {
        auto& run = member.m_worker->m_runs[position_of(member, number)];
        run.m_end = std::min(run.m_end, now + work);
    }
    if (fails) {
        auto& run = members.front().m_worker->m_runs[position_of(members.front(), number)];
        run.m_end = now + work / 2;
        run.m_fails = true;
    }
}

} // namespace

auto advance_gangs(soak_gangs& gangs, std::map<worker_id, soak_worker>& workers, soak_random& random,
                   const time_point now) -> void
{
    std::map<std::pair<task_ref, run_number>, std::vector<member>> found;
    for (auto& [id, worker] : workers) {
        for (const auto& run : worker.m_runs) {
            if (run.m_gang_size > 0) {
                auto first = run.m_task;
                first.m_index = 0;
                found[{first, run.m_run}].push_back({&worker, run.m_task});
            }
        }
    }
    std::erase_if(gangs.m_present, [&found](const auto& gang) { return !found.contains(gang.first); });
    for (const auto& [key, members] : found) {
        const auto number = key.second;
        const auto& front = members.front();
        const auto size = front.m_worker->m_runs[position_of(front, number)].m_gang_size;
        const auto count = static_cast<std::int64_t>(members.size());
        auto& present = gangs.m_present[key];
        const bool broken = count < present;
        const bool completed = count == size && present < size;
        present = std::max(present, count);
        if (completed) {
            begin_work(members, number, random, now);
        }
        for (const auto& member : members) {
            const auto position = position_of(member, number);
            const auto run = member.m_worker->m_runs[position];
            if (broken) {
                end_run(*member.m_worker, position, run_end::peer_ended);
            }
            else if (present < size && now - run.m_begin > gang_timeout) {
                gangs.m_lonely.push_back({run.m_task, run.m_begin});
                end_run(*member.m_worker, position, run_end::gang_timeout);
            }
        }
    }
}

} // namespace cicadalug::test
