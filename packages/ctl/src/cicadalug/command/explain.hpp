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
    /** @brief Date and time as they are written; sorts by time. */
    std::string m_time;
    /** @brief The text from "event=" on. */
    std::string m_text;

    /** @brief Returns a field without its quotes. @return The field, or an empty text if there is none. */
    [[nodiscard]] auto field(std::string_view name) const -> std::string;
};

/** @brief What to explain. */
struct explain_options {
    std::string m_request;
    /** @brief Log files; none to read standard input. */
    std::vector<std::string> m_files;
};

/**
 * @brief Parses a line of a program of cicadalug, also with text in front of it.
 * @return The record, or nothing if the line has no time or no event.
 */
[[nodiscard]] auto parse_log_record(std::string_view line) -> std::optional<log_record>;

/**
 * @brief Collects the lines that tell the history of a request, in order of time: those that name it, those about
 * workers that ran it being paused, and the changes of the decider in between.
 * @param records All lines, in any order.
 * @param request Id of the request.
 * @return Its history; empty if no line names it.
 */
[[nodiscard]] auto history_of(const std::vector<log_record>& records, const std::string& request)
    -> std::vector<log_record>;

/**
 * @brief Says in one sentence how a request ended and why, as far as its history tells.
 * @param history Its history.
 * @return The sentence.
 */
[[nodiscard]] auto conclude(const std::vector<log_record>& history) -> std::string;

/**
 * @brief Prints the history of a request with the cause last.
 * @param context Where to.
 * @param options What to explain.
 * @return exit_code::not_found if no line names the request, exit_code::invalid if a file cannot be read.
 */
[[nodiscard]] auto explain(const command_context& context, const explain_options& options) -> exit_code;

} // namespace cicadalug

#endif
