#include <cicadalug/telemetry/trace_context.hpp>

#include <algorithm>
#include <charconv>

namespace cicadalug {

namespace {

constexpr std::size_t header_size{55};

template<std::size_t Size>
[[nodiscard]] auto parse_hex(const std::string_view text, std::array<std::uint8_t, Size>& bytes) -> bool
{
    const auto is_digit = [](const char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    if (!std::all_of(text.begin(), text.end(), is_digit)) {
        return false;
    }
    for (std::size_t index = 0; index < Size; ++index) {
        const auto* digits = text.data() + 2 * index;
        std::from_chars(digits, digits + 2, bytes[index], 16);
    }
    return true;
}

template<std::size_t Size>
[[nodiscard]] auto all_zero(const std::array<std::uint8_t, Size>& bytes) -> bool
{
    return std::all_of(bytes.begin(), bytes.end(), [](const auto byte) { return byte == 0; });
}

template<std::size_t Size>
auto fill_random(std::array<std::uint8_t, Size>& bytes, std::mt19937_64& random) -> void
{
    do {
        for (auto& byte : bytes) {
            byte = static_cast<std::uint8_t>(random() >> 56U);
        }
    } while (all_zero(bytes));
}

} // namespace

auto parse_traceparent(const std::string_view text) -> std::optional<trace_context>
{
    std::array<std::uint8_t, 1> version{};
    std::array<std::uint8_t, 1> flags{};
    trace_context context;
    if (text.size() < header_size || text[2] != '-' || text[35] != '-' || text[52] != '-' ||
        !parse_hex(text.substr(0, 2), version) || !parse_hex(text.substr(3, 32), context.m_trace_id) ||
        !parse_hex(text.substr(36, 16), context.m_span_id) || !parse_hex(text.substr(53, 2), flags)) {
        return std::nullopt;
    }
    // Version 00 has no further fields; later versions may append fields after another dash.
    const auto size_fits = text.size() == header_size || (version[0] != 0 && text[header_size] == '-');
    if (version[0] == 0xff || !size_fits || all_zero(context.m_trace_id) || all_zero(context.m_span_id)) {
        return std::nullopt;
    }
    context.m_sampled = (flags[0] & 1U) != 0;
    return context;
}

auto to_hex(const std::uint8_t* first, const std::size_t size) -> std::string
{
    constexpr std::string_view digits{"0123456789abcdef"};
    std::string text;
    text.reserve(2 * size);
    for (const auto* byte = first; byte != first + size; ++byte) {
        text += digits[*byte >> 4U];
        text += digits[*byte & 15U];
    }
    return text;
}

auto to_traceparent(const trace_context& context) -> std::string
{
    return "00-" + to_hex(context.m_trace_id.data(), context.m_trace_id.size()) + '-' +
           to_hex(context.m_span_id.data(), context.m_span_id.size()) + (context.m_sampled ? "-01" : "-00");
}

auto new_trace(std::mt19937_64& random) -> trace_context
{
    trace_context context;
    fill_random(context.m_trace_id, random);
    fill_random(context.m_span_id, random);
    return context;
}

auto child_of(const trace_context& parent, std::mt19937_64& random) -> trace_context
{
    auto context = parent;
    fill_random(context.m_span_id, random);
    return context;
}

} // namespace cicadalug
