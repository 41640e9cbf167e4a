#ifndef CICADALUG_TELEMETRY_LOG_LINE_HPP
#define CICADALUG_TELEMETRY_LOG_LINE_HPP

#include <ostream>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace cicadalug {

/**
 * @brief Escapes a value of a log line, so that an untrusted value can neither end the line nor add a field.
 * @param value Any bytes.
 * @return The value unchanged if it needs no escaping; otherwise in quotes, with quotes, backslashes, control
 * characters and bytes above 126 escaped.
 */
[[nodiscard]] auto escape_log_value(std::string_view value) -> std::string;

/**
 * @brief One structured log line: event=... name=value ... It is streamed to glog: LOG(INFO) << log_line{"drained"}.
 * @note Thread safety: distinct objects can be used concurrently.
 */
class log_line {
public:
    /**
     * @brief Constructs a line without fields.
     * @param event Name of the event, in snake_case.
     */
    explicit log_line(const std::string_view event) : m_text{"event=" + escape_log_value(event)} {}

    /**
     * @brief Adds a field.
     * @param name Name of the field, for example "request", "vm", "pool" or "version".
     * @param value Value that can be written to a stream.
     * @return This line.
     */
    template<typename Value>
    [[nodiscard]] auto with(const std::string_view name, const Value& value) && -> log_line&&
    {
        std::ostringstream text;
        text << value;
        m_text.append(" ").append(name).append("=").append(escape_log_value(text.str()));
        return std::move(*this);
    }

    /**
     * @brief Returns the line.
     * @return Text without a trailing line feed.
     */
    [[nodiscard]] auto str() const noexcept -> const std::string& { return m_text; }

    /** @brief Writes the line to a stream. */
    friend auto operator<<(std::ostream& stream, const log_line& line) -> std::ostream&
    {
        return stream << line.m_text;
    }

private:
    std::string m_text;
};

} // namespace cicadalug

#endif
