#include <cicadalug/telemetry/log_line.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

[[nodiscard]] auto needs_escape(const char c) -> bool
{
    return c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '=';
}

} // namespace

auto escape_log_value(const std::string_view value) -> std::string
{
    constexpr std::string_view digits{"0123456789abcdef"};
    if (!value.empty() && std::none_of(value.begin(), value.end(), needs_escape)) {
        return std::string{value};
    }
    std::string text{'"'};
    for (const auto c : value) {
        if (c == '"' || c == '\\') {
            text += {'\\', c};
        }
        else if (c == '\n') {
            text += "\\n";
        }
        else if (c < ' ' || c > '~') {
            const auto byte = static_cast<unsigned char>(c);
            text += {'\\', 'x', digits[byte >> 4U], digits[byte & 15U]};
        }
        else {
            text += c;
        }
    }
    return text + '"';
}

} // namespace cicadalug
