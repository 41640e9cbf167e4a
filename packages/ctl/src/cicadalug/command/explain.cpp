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

/** @brief Length of "YYYYMMDD hh:mm:ss.uuuuuu", the form in which glog writes the time. */
constexpr std::size_t time_length{24};

/** @brief Events that explain a gap in the history of any request. */
constexpr std::array<std::string_view, 4> decider_events{"takeover", "deposed", "term_ended", "decider_lease_lost"};

[[nodiscard]] auto is_digit(const char c) -> bool
{
    return c >= '0' && c <= '9';
}

/** @brief Checks for a severity letter and a time at a place of the line. */
[[nodiscard]] auto is_time_at(const std::string_view line, const std::size_t place) -> bool
{
    constexpr std::string_view form{"00000000 00:00:00.000000"};
    const auto text = line.substr(place, time_length);
    return text.size() == form.size() &&
           std::equal(text.begin(), text.end(), form.begin(), [](const char found, const char expected) {
               return expected == '0' ? is_digit(found) : found == expected;
           });
}

/** @brief Takes a value and the blank after it from the front of a text; quotes and escapes are resolved. */
[[nodiscard]] auto take_value(std::string_view& rest) -> std::string
{
    std::string value;
    const bool quoted = !rest.empty() && rest.front() == '"';
    std::size_t place{quoted ? 1U : 0U};
    for (; place < rest.size() && rest[place] != (quoted ? '"' : ' '); ++place) {
        if (quoted && rest[place] == '\\' && place + 1 < rest.size()) {
            ++place;
        }
        value += rest[place];
    }
    rest.remove_prefix(std::min(rest.size(), place + (quoted ? 2U : 1U)));
    return value;
}

[[nodiscard]] auto number_of(const log_record& record, const std::string_view name) -> std::int64_t
{
    const auto text = record.field(name);
    std::int64_t value{0};
    static_cast<void>(std::from_chars(text.data(), text.data() + text.size(), value));
    return value;
}

[[nodiscard]] auto find_last(const std::vector<log_record>& history, const std::string_view event) -> const log_record*
{
    const auto found = std::find_if(history.rbegin(), history.rend(),
                                    [event](const log_record& record) { return record.field("event") == event; });
    return found == history.rend() ? nullptr : &*found;
}

[[nodiscard]] auto count_of(const std::vector<log_record>& history, const std::string_view event) -> std::string
{
    return std::to_string(std::count_if(history.begin(), history.end(),
                                        [event](const log_record& record) { return record.field("event") == event; }));
}

/** @brief What happened between the acceptance and the end of a job. */
[[nodiscard]] auto circumstances(const std::vector<log_record>& history) -> std::string
{
    const auto* started = find_last(history, "job_started");
    const auto waited = started == nullptr
                            ? std::string{"no start is logged"}
                            : "its first task waited " + std::to_string(number_of(*started, "waited_ms")) + " ms";
    return waited + ", " + count_of(history, "run_failed") + " runs failed, " + count_of(history, "run_lost") +
           " were lost, " + count_of(history, "start_not_accepted") + " starts were not accepted, " +
           count_of(history, "takeover") + " takeovers of the decider";
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
    // Field by field, as a quoted value may hold text that looks like another field.
    for (std::string_view rest{m_text}; !rest.empty();) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        const auto found = rest.substr(0, equals);
        rest.remove_prefix(equals + 1);
        auto value = take_value(rest);
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
    for (std::size_t place = 1; place < event; ++place) {
        const bool severity = std::string_view{"IWEF"}.find(line[place - 1]) != std::string_view::npos;
        if (severity && is_time_at(line, place)) {
            return log_record{std::string{line.substr(place, time_length)}, std::string{line.substr(event + 2)}};
        }
    }
    return std::nullopt;
}

auto history_of(const std::vector<log_record>& records, const std::string& request) -> std::vector<log_record>
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

auto conclude(const std::vector<log_record>& history) -> std::string
{
    if (const auto* ended = find_last(history, "job_ended")) {
        const auto late_ms = number_of(*ended, "took_ms") - number_of(*ended, "objective_ms");
        const auto state = ended->field("state");
        const auto when = late_ms > 0 ? std::to_string(late_ms) + " ms after its objective" : "within its objective";
        return state + ' ' + when + ": " + circumstances(history);
    }
    if (find_last(history, "job_accepted") == nullptr) {
        if (const auto* refused = find_last(history, "job_not_accepted")) {
            return refused->field("outcome") == "unknown"
                       ? "not known to be stored: the store gave no answer in time; the client may repeat it with the "
                         "same id"
                       : "not accepted and never run: the store did not take it in time";
        }
        if (find_last(history, "job_invalid") != nullptr) {
            return "refused: the job itself has findings";
        }
    }
    if (find_last(history, "job_cancelled") != nullptr || find_last(history, "cancel_stored") != nullptr) {
        return "cancelled by its client";
    }
    return "its end is not in these logs: " + circumstances(history);
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
    const auto history = history_of(records, options.m_request);
    if (history.empty()) {
        context.m_error << "no log line names request " << options.m_request << '\n';
        return exit_code::not_found;
    }
    for (const auto& record : history) {
        context.m_out << record.m_time << ' ' << record.m_text << '\n';
    }
    context.m_out << "cause: " << conclude(history) << '\n';
    return exit_code::done;
}

} // namespace cicadalug
