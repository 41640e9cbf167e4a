#include <cicadalug/command/explain.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iostream>
#include <set>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Length of "YYYYMMDD hh:mm:ss.uuuuuu", the timestamp format of glog. */
constexpr std::size_t timestamp_length{24};

/** @brief Events of a change of the decider; they can explain a gap in the history of any request. */
constexpr std::array<std::string_view, 4> decider_events{"takeover", "deposed", "term_ended", "decider_lease_lost"};

[[nodiscard]] auto is_digit(const char c) -> bool
{
    return c >= '0' && c <= '9';
}

/** @brief Checks if a timestamp begins at a position of the line. */
[[nodiscard]] auto is_timestamp_at(const std::string_view line, const std::size_t position) -> bool
{
    constexpr std::string_view pattern{"00000000 00:00:00.000000"};
    const auto text = line.substr(position, timestamp_length);
    return text.size() == pattern.size() &&
           std::equal(text.begin(), text.end(), pattern.begin(), [](const char found, const char expected) {
               return expected == '0' ? is_digit(found) : found == expected;
           });
}

/** @brief Removes a value and the space after it from the front of a text; returns it unquoted and unescaped. */
[[nodiscard]] auto consume_field_value(std::string_view& rest) -> std::string
{
    std::string value;
    const bool quoted = !rest.empty() && rest.front() == '"';
    std::size_t position{quoted ? 1U : 0U};
    for (; position < rest.size() && rest[position] != (quoted ? '"' : ' '); ++position) {
        if (quoted && rest[position] == '\\' && position + 1 < rest.size()) {
            ++position;
        }
        value += rest[position];
    }
    rest.remove_prefix(std::min(rest.size(), position + (quoted ? 2U : 1U)));
    return value;
}

[[nodiscard]] auto integer_field(const log_record& record, const std::string_view name) -> std::int64_t
{
    const auto text = record.field(name);
    std::int64_t value{0};
    static_cast<void>(std::from_chars(text.data(), text.data() + text.size(), value));
    return value;
}

[[nodiscard]] auto find_last_event(const std::vector<log_record>& history, const std::string_view event)
    -> const log_record*
{
    const auto found = std::find_if(history.rbegin(), history.rend(),
                                    [event](const log_record& record) { return record.field("event") == event; });
    return found == history.rend() ? nullptr : &*found;
}

[[nodiscard]] auto count_events(const std::vector<log_record>& history, const std::string_view event) -> std::string
{
    return std::to_string(std::count_if(history.begin(), history.end(),
                                        [event](const log_record& record) { return record.field("event") == event; }));
}

/** @brief Summarizes the wait, the failed and lost runs and the takeovers between acceptance and end of a job. */
[[nodiscard]] auto summarize_runs(const std::vector<log_record>& history) -> std::string
{
    const auto* started = find_last_event(history, "job_started");
    const auto waited = started == nullptr
                            ? std::string{"no start is logged"}
                            : "its first task waited " + std::to_string(integer_field(*started, "waited_ms")) + " ms";
    return waited + ", " + count_events(history, "run_failed") + " runs failed, " + count_events(history, "run_lost") +
           " were lost, " + count_events(history, "start_not_accepted") + " starts were not accepted, " +
           count_events(history, "takeover") + " takeovers of the decider";
}

auto read_records(std::istream& from, std::vector<log_record>& records) -> void
{
    for (std::string line; std::getline(from, line);) {
        if (auto record = parse_log_record(line)) {
            records.push_back(std::move(*record));
        }
    }
}

} // namespace

auto log_record::field(const std::string_view name) const -> std::string
{
    // The fields are parsed one by one, as a quoted value can contain text that looks like another field.
    for (std::string_view rest{m_text}; !rest.empty();) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        const auto found = rest.substr(0, equals);
        rest.remove_prefix(equals + 1);
        auto value = consume_field_value(rest);
        if (found == name) {
            return value;
        }
    }
    return {};
}

auto parse_log_record(const std::string_view line) -> std::optional<log_record>
{
    const auto event = line.find("] event=");
    if (event == std::string_view::npos) {
        return std::nullopt;
    }
    for (std::size_t position = 1; position < event; ++position) {
        const bool has_severity = std::string_view{"IWEF"}.find(line[position - 1]) != std::string_view::npos;
        if (has_severity && is_timestamp_at(line, position)) {
            return log_record{std::string{line.substr(position, timestamp_length)},
                              std::string{line.substr(event + 2)}};
        }
    }
    return std::nullopt;
}

auto collect_history(const std::vector<log_record>& records, const std::string& request) -> std::vector<log_record>
{
    std::set<std::string> workers;
    std::string first;
    std::string last;
    for (const auto& record : records) {
        if (record.field("request") == request) {
            workers.insert(record.field("worker"));
            first = first.empty() ? record.m_time : std::min(first, record.m_time);
            last = std::max(last, record.m_time);
        }
    }
    workers.erase(std::string{});
    std::vector<log_record> history;
    std::copy_if(records.begin(), records.end(), std::back_inserter(history), [&](const log_record& record) {
        const auto event = record.field("event");
        const bool context = (event == "worker_paused" && workers.contains(record.field("worker"))) ||
                             std::find(decider_events.begin(), decider_events.end(), event) != decider_events.end();
        return record.field("request") == request || (context && record.m_time >= first && record.m_time <= last);
    });
    std::stable_sort(history.begin(), history.end(),
                     [](const log_record& left, const log_record& right) { return left.m_time < right.m_time; });
    return history;
}

auto describe_outcome(const std::vector<log_record>& history) -> std::string
{
    if (const auto* ended = find_last_event(history, "job_ended")) {
        const auto overdue_ms = integer_field(*ended, "took_ms") - integer_field(*ended, "objective_ms");
        const auto state = ended->field("state");
        const auto when =
            overdue_ms > 0 ? std::to_string(overdue_ms) + " ms after its objective" : "within its objective";
        return state + ' ' + when + ": " + summarize_runs(history);
    }
    if (find_last_event(history, "job_accepted") == nullptr) {
        if (const auto* rejected = find_last_event(history, "job_not_accepted")) {
            return rejected->field("outcome") == "unknown"
                       ? "not known to be stored: the store did not respond in time; the client can retry it with the "
                         "same id"
                       : "not accepted and never run: it was not stored in time";
        }
        if (find_last_event(history, "job_invalid") != nullptr) {
            return "rejected: the job is invalid";
        }
    }
    if (find_last_event(history, "job_cancelled") != nullptr || find_last_event(history, "cancel_stored") != nullptr) {
        return "cancelled by its client";
    }
    return "its end is not in these logs: " + summarize_runs(history);
}

auto explain(const command_context& context, const explain_options& options) -> exit_code
{
    std::vector<log_record> records;
    findings found;
    for (const auto& path : options.m_files) {
        std::ifstream file{path};
        if (!file) {
            found.add(path, "cannot be read");
            continue;
        }
        read_records(file, records);
    }
    if (!found.empty()) {
        return report_invalid(context, found);
    }
    if (options.m_files.empty()) {
        read_records(std::cin, records);
    }
    const auto history = collect_history(records, options.m_request);
    if (history.empty()) {
        context.m_error << "no log line names request " << options.m_request << '\n';
        return exit_code::not_found;
    }
    for (const auto& record : history) {
        context.m_out << record.m_time << ' ' << record.m_text << '\n';
    }
    context.m_out << "cause: " << describe_outcome(history) << '\n';
    return exit_code::done;
}

} // namespace cicadalug
