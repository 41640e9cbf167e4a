#ifndef CICADALUG_STANDIN_SCHEDULER_FAULTS_HPP
#define CICADALUG_STANDIN_SCHEDULER_FAULTS_HPP

#include <cicadalug/base/time.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace cicadalug::standin {

/** @brief Faults of the platform of the scheduler. */
struct injected_faults {
    /** @brief Watches of exactly this prefix get no response; empty for none. */
    std::string m_silent_watch;
    /** @brief Watches of exactly this prefix end without changes, at the revision from which they started. */
    std::string m_blind_watch;
    /** @brief Watches of exactly this prefix return only the first changes, after a delay. */
    std::string m_partial_watch;
    std::size_t m_partial_changes{1};
    milliseconds m_partial_delay{};
    /** @brief Delay of the responses to calls of a path; the call itself is executed at once. */
    std::map<std::string, milliseconds> m_delays;
    /** @brief Calls of these paths get 503. */
    std::set<std::string> m_refused_paths;
    /** @brief Worker that the registry has lost, as one that is cut off from the store; empty for none. */
    std::string m_unregistered;
    /** @brief Worker whose own entry is not written, as another writer overwrites it; empty for none. */
    std::string m_overwritten;
    /** @brief Time before writes that put a key are executed. */
    std::map<std::string, milliseconds> m_held_writes;
    /** @brief Writes that put these keys get 400, as for a value that is too long. */
    std::set<std::string> m_refused_keys;
    /** @brief How long a run takes that starts from now on. */
    milliseconds m_run_time{1'000};
    /** @brief Bandwidth that the responses of the store share, in bytes per second; 0 for unlimited. */
    std::int64_t m_link_bytes_per_s{0};
    /** @brief If positive, workers respond to no start and no stop, and carry each out after this time. */
    milliseconds m_command_delay{0};
    /** @brief Time before a start is carried out and answered, by the incarnation that is there then. */
    milliseconds m_start_delay{0};
    /** @brief Workers that the entry VMs cannot reach; their runs, leases and entries go on. */
    std::set<std::string> m_cut_off;
    /** @brief Workers whose entries state that they are draining. */
    std::set<std::string> m_draining;
    /** @brief Worker and path of the next call that gets no response and is carried out on release. */
    std::optional<std::pair<std::string, std::string>> m_hold_next;
};

/** @brief A call that was not answered and has not been carried out. */
struct held_call {
    std::string m_worker;
    std::string m_path;
    nlohmann::json m_body;
};

/** @brief Sets the faults that a body of POST /control names; others stay as they are. */
inline auto set(injected_faults& faults, const nlohmann::json& body) -> void
{
    using nlohmann::json;
    faults.m_command_delay = milliseconds{body.value("command_delay_ms", faults.m_command_delay.count())};
    faults.m_start_delay = milliseconds{body.value("start_delay_ms", faults.m_start_delay.count())};
    const auto held_writes = body.value("held_writes_ms", json::object());
    for (const auto& [key, time] : held_writes.items()) {
        faults.m_held_writes[key] = milliseconds{time.get<std::int64_t>()};
    }
    faults.m_blind_watch = body.value("blind_watch", faults.m_blind_watch);
    if (const auto partial = body.find("partial_watch"); partial != body.end()) {
        faults.m_partial_watch = partial->value("prefix", "");
        faults.m_partial_changes = partial->value("changes", std::size_t{1});
        faults.m_partial_delay = milliseconds{partial->value("delay_ms", 0)};
    }
    faults.m_link_bytes_per_s = body.value("link_bytes_per_s", faults.m_link_bytes_per_s);
    if (const auto paths = body.find("refused_paths"); paths != body.end()) {
        faults.m_refused_paths = paths->get<std::set<std::string>>();
    }
    if (const auto keys = body.find("refused_keys"); keys != body.end()) {
        faults.m_refused_keys = keys->get<std::set<std::string>>();
    }
    faults.m_silent_watch = body.value("silent_watch", faults.m_silent_watch);
    faults.m_run_time = milliseconds{body.value("run_ms", faults.m_run_time.count())};
    faults.m_overwritten = body.value("overwritten", faults.m_overwritten);
    faults.m_unregistered = body.value("unregistered", faults.m_unregistered);
    const auto delays = body.value("delays_ms", json::object());
    for (const auto& [path, delay] : delays.items()) {
        faults.m_delays[path] = milliseconds{delay.get<std::int64_t>()};
    }
    if (const auto ids = body.find("cut_off"); ids != body.end()) {
        faults.m_cut_off = ids->get<std::set<std::string>>();
    }
    if (const auto ids = body.find("draining"); ids != body.end()) {
        faults.m_draining = ids->get<std::set<std::string>>();
    }
    if (const auto next = body.find("hold_next"); next != body.end()) {
        faults.m_hold_next = {next->at("worker").get<std::string>(), next->at("path").get<std::string>()};
    }
}

} // namespace cicadalug::standin

#endif
