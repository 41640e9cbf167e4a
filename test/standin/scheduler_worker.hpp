#ifndef CICADALUG_STANDIN_SCHEDULER_WORKER_HPP
#define CICADALUG_STANDIN_SCHEDULER_WORKER_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/http/message.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug::standin {

/** @brief A start or a stop that a worker carried out. */
struct worker_event {
    std::string m_task;
    std::int64_t m_run{0};
    std::uint64_t m_token{0};
    time_point m_time;
};

/** @brief Returns events of a worker as GET /control shows them. */
[[nodiscard]] inline auto events_json(const std::string& worker, const std::vector<worker_event>& events)
    -> nlohmann::json
{
    auto rows = nlohmann::json::array();
    for (const auto& event : events) {
        const auto time = std::chrono::duration_cast<milliseconds>(event.m_time.time_since_epoch());
        rows.push_back({{"worker", worker},
                        {"task", event.m_task},
                        {"run", event.m_run},
                        {"fence", event.m_token},
                        {"clock_ms", time.count()}});
    }
    return rows;
}

/**
 * @brief Worker of the platform of the scheduler: runs with leases, numbered ends and fencing tokens. Capacity is not
 * enforced.
 * @note Thread safety: to be used by one thread only.
 */
class scheduler_worker {
public:
    /**
     * @brief Constructs a worker that runs nothing.
     * @param id Id of the worker.
     * @param unix_ms Start of the worker, in Unix milliseconds.
     * @param now Start of the worker's clock.
     */
    scheduler_worker(std::string id, const std::int64_t unix_ms, const time_point now)
        : m_id{std::move(id)}, m_started_unix_ms{unix_ms}, m_started{now}
    {
    }

    [[nodiscard]] auto id() const noexcept -> const std::string& { return m_id; }
    [[nodiscard]] auto started_unix_ms() const noexcept -> std::int64_t { return m_started_unix_ms; }
    [[nodiscard]] auto clock_started() const noexcept -> time_point { return m_started; }
    [[nodiscard]] auto starts() const noexcept -> const std::vector<worker_event>& { return m_starts; }
    [[nodiscard]] auto stops() const noexcept -> const std::vector<worker_event>& { return m_stops; }
    /** @brief Returns the tasks whose ends as done have been acknowledged. */
    [[nodiscard]] auto acknowledged_as_done() const noexcept -> const std::set<std::string>&
    {
        return m_acknowledged_as_done;
    }
    [[nodiscard]] auto running() const noexcept -> std::size_t { return m_runs.size(); }
    [[nodiscard]] auto is_running(const std::string& task) const -> bool { return m_runs.contains(task); }
    /** @brief Returns how long the lease lasts from now on, in milliseconds; 0 if it has ended. */
    [[nodiscard]] auto lease_left_ms(const time_point now) const -> std::int64_t
    {
        return std::max<std::int64_t>(0, m_lease_until_ms - clock_ms(now));
    }

    /**
     * @brief Starts the worker again under its id: it forgets all but what the tests observe.
     * @param unix_ms Time of the restart, in Unix milliseconds.
     * @param now Start of the worker's clock.
     */
    auto restart(const std::int64_t unix_ms, const time_point now) -> void
    {
        scheduler_worker restarted{m_id, unix_ms, now};
        restarted.m_checkpoint_bytes = m_checkpoint_bytes;
        restarted.m_starts = std::move(m_starts);
        restarted.m_stops = std::move(m_stops);
        restarted.m_acknowledged_as_done = std::move(m_acknowledged_as_done);
        *this = std::move(restarted);
    }

    /** @brief Starts a run. @param run_time How long the run takes. */
    [[nodiscard]] auto start(const nlohmann::json& body, const milliseconds run_time, const time_point now)
        -> http_response
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::int64_t>();
        if (!accept_token(body)) {
            return refuse("fence", now);
        }
        const auto found = m_runs.find(task);
        if (found != m_runs.end() && found->second.m_run == run) {
            return respond(now);
        }
        extend_lease(body, now);
        if (found != m_runs.end() || run <= m_ended_runs[task]) {
            return refuse("old", now);
        }
        if (body.at("until_ms").get<std::int64_t>() <= clock_ms(now)) {
            return refuse("late", now);
        }
        m_runs[task] = {run, now, run_time};
        m_starts.push_back({task, run, m_token, now});
        return respond(now);
    }

    [[nodiscard]] auto stop(const nlohmann::json& body, const time_point now) -> http_response
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::int64_t>();
        if (!accept_token(body)) {
            return refuse("fence", now);
        }
        m_ended_runs[task] = std::max(m_ended_runs[task], run);
        m_stops.push_back({task, run, m_token, now});
        const auto found = m_runs.find(task);
        if (found != m_runs.end() && found->second.m_run == run) {
            end(task, "stopped");
        }
        return respond(now);
    }

    /** @brief Checks the fencing token of a lease renewal and extends the lease. @return False if the token is
     * outdated. */
    [[nodiscard]] auto renew(const nlohmann::json& body, const time_point now) -> bool
    {
        if (!accept_token(body)) {
            return false;
        }
        extend_lease(body, now);
        std::erase_if(m_ends, [this, seen = body.value("last_seen", std::int64_t{0})](const nlohmann::json& row) {
            const bool acknowledged = row.at(0).get<std::int64_t>() <= seen;
            if (acknowledged && row.at(3) == "done") {
                m_acknowledged_as_done.insert(row.at(1).get<std::string>());
            }
            return acknowledged;
        });
        return true;
    }

    /** @brief Sets the size of the checkpoints that running tasks report. */
    auto set_checkpoint_bytes(const std::size_t bytes) noexcept -> void { m_checkpoint_bytes = bytes; }

    [[nodiscard]] auto has_ends() const noexcept -> bool { return !m_ends.empty(); }

    /** @brief Returns the response to a lease renewal: the runs and the ends that were not acknowledged. */
    [[nodiscard]] auto report(const time_point now) const -> http_response
    {
        auto body = basic_body(now);
        body["running"] = nlohmann::json::array();
        for (const auto& [task, state] : m_runs) {
            const auto percent = 100 * (now - state.m_started) / microseconds{state.m_run_time};
            body["running"].push_back({task, state.m_run, std::string(m_checkpoint_bytes, 'c'), percent, 0});
        }
        body["ended_runs"] = m_ends;
        return json_response(http::status::ok, body);
    }

    [[nodiscard]] auto refuse(const char* reason, const time_point now) const -> http_response
    {
        auto body = basic_body(now);
        body["reason"] = reason;
        return json_response(http::status::conflict, body);
    }

    /** @brief Ends the runs whose time is over, or all runs if the lease has expired. */
    auto advance(const time_point now) -> void
    {
        std::vector<std::string> done;
        for (const auto& [task, state] : m_runs) {
            if (now >= state.m_started + state.m_run_time) {
                done.push_back(task);
            }
        }
        for (const auto& task : done) {
            end(task, "done");
        }
        while (!m_runs.empty() && clock_ms(now) >= m_lease_until_ms) {
            end(std::string{m_runs.begin()->first}, "lapsed");
        }
    }

private:
    /** @brief Longest lease; the same as in the settings file of the tests. */
    static constexpr milliseconds longest_lease{10'000};

    struct run_state {
        std::int64_t m_run{0};
        time_point m_started;
        milliseconds m_run_time{};
    };

    [[nodiscard]] auto clock_ms(const time_point now) const -> std::int64_t
    {
        return std::chrono::duration_cast<milliseconds>(now - m_started).count();
    }

    [[nodiscard]] auto basic_body(const time_point now) const -> nlohmann::json
    {
        return {{"clock_ms", clock_ms(now)}, {"born", m_started_unix_ms}};
    }

    [[nodiscard]] auto respond(const time_point now) const -> http_response
    {
        return json_response(http::status::ok, basic_body(now));
    }

    [[nodiscard]] auto accept_token(const nlohmann::json& body) -> bool
    {
        const auto token = body.value("fence", std::uint64_t{0});
        const bool accepted = token >= m_token;
        m_token = std::max(m_token, token);
        return accepted;
    }

    auto extend_lease(const nlohmann::json& body, const time_point now) -> void
    {
        const auto requested = body.value("until_ms", std::int64_t{0});
        m_lease_until_ms = std::max(m_lease_until_ms, std::min(requested, clock_ms(now) + longest_lease.count()));
    }

    auto end(const std::string& task, const char* outcome) -> void
    {
        const auto run = m_runs.at(task).m_run;
        m_ends.push_back({++m_last_end, task, run, outcome, ""});
        m_ended_runs[task] = std::max(m_ended_runs[task], run);
        m_runs.erase(task);
    }

    std::string m_id;
    std::int64_t m_started_unix_ms;
    time_point m_started;
    std::uint64_t m_token{0};
    std::int64_t m_lease_until_ms{0};
    std::map<std::string, run_state> m_runs;
    /** @brief Highest run of each task that was stopped or ended. */
    std::map<std::string, std::int64_t> m_ended_runs;
    std::int64_t m_last_end{0};
    std::vector<nlohmann::json> m_ends;
    std::set<std::string> m_acknowledged_as_done;
    std::size_t m_checkpoint_bytes{0};
    std::vector<worker_event> m_starts;
    std::vector<worker_event> m_stops;
};

} // namespace cicadalug::standin

#endif
