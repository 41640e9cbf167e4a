#ifndef CICADALUG_COMMAND_EXPLAIN_HPP
#define CICADALUG_COMMAND_EXPLAIN_HPP

#include <cicadalug/command/context.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief A structured log line. */
struct log_record {
    /** @brief Date and time as logged; the text order is the time order. */
    std::string m_time;
    /** @brief The line from "event=" to its end. */
    std::string m_text;

    /** @brief Returns the value of a field, unquoted. @return The value, or an empty text if there is no such field. */
    [[nodiscard]] auto field(std::string_view name) const -> std::string;
};

/** @brief Arguments of the command explain. */
struct explain_options {
    std::string m_request;
    /** @brief Log files; empty: standard input is read. */
    std::vector<std::string> m_files;
};

/**
 * @brief Parses a log line of a cicadalug program; text before the log line is skipped.
 * @return The record, or nothing if the line has no timestamp or no event.
 */
[[nodiscard]] auto parse_log_record(std::string_view line) -> std::optional<log_record>;

/**
 * @brief Collects the history of a request, sorted by time: the records that name the request and, between the first
 * and the last of them, those that report a pause of a worker that ran it or a change of the decider.
 * @param records All records, in any order.
 * @param request Id of the request.
 * @return The history; empty if no record names the request.
 */
[[nodiscard]] auto collect_history(const std::vector<log_record>& records, const std::string& request)
    -> std::vector<log_record>;

/**
 * @brief Describes in one sentence how a request ended and why, as far as its history shows.
 * @param history History of the request.
 * @return The sentence.
 */
[[nodiscard]] auto describe_outcome(const std::vector<log_record>& history) -> std::string;

/**
 * @brief Prints the history of a request with the cause last.
 * @param context The command context.
 * @param options The arguments.
 * @return exit_code::not_found if no line names the request, exit_code::invalid if a file cannot be read.
 */
[[nodiscard]] auto explain(const command_context& context, const explain_options& options) -> exit_code;

} // namespace cicadalug

#endif
