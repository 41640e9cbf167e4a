#include <cicadalug/http/target.hpp>

#include <charconv>

namespace cicadalug {

namespace {

[[nodiscard]] auto percent_decode(const std::string_view text) -> std::string
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned byte{};
        if (text[at] == '%' && at + 2 < text.size()) {
            const auto* first = text.data() + at + 1;
            const auto [end, error] = std::from_chars(first, first + 2, byte, 16);
            if (error == std::errc{} && end == first + 2) {
                decoded += static_cast<char>(byte);
                at += 2;
                continue;
            }
        }
        decoded += text[at];
    }
    return decoded;
}

[[nodiscard]] auto is_unescaped(const char character) noexcept -> bool
{
    constexpr std::string_view unescaped_punctuation{"-._~/"};
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || unescaped_punctuation.find(character) != std::string_view::npos;
}

} // namespace

auto parse_target(const std::string_view target) -> http_target
{
    const auto question_mark = target.find('?');
    http_target parsed{percent_decode(target.substr(0, question_mark)), {}};
    auto rest = question_mark == std::string_view::npos ? std::string_view{} : target.substr(question_mark + 1);
    while (!rest.empty()) {
        const auto next = rest.find('&');
        const auto parameter = rest.substr(0, next);
        const auto equals = parameter.find('=');
        parsed.m_query[percent_decode(parameter.substr(0, equals))] =
            equals == std::string_view::npos ? std::string{} : percent_decode(parameter.substr(equals + 1));
        rest = next == std::string_view::npos ? std::string_view{} : rest.substr(next + 1);
    }
    return parsed;
}

auto percent_encode(const std::string_view text) -> std::string
{
    constexpr std::string_view digits{"0123456789ABCDEF"};
    std::string encoded;
    for (const auto character : text) {
        if (is_unescaped(character)) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += {'%', digits[byte >> 4U], digits[byte & 15U]};
    }
    return encoded;
}

auto query_number(const http_target& target, const std::string& name, const unsigned long long fallback)
    -> unsigned long long
{
    const auto found = target.m_query.find(name);
    if (found == target.m_query.end()) {
        return fallback;
    }
    unsigned long long number{};
    const auto* last = found->second.data() + found->second.size();
    const auto [end, error] = std::from_chars(found->second.data(), last, number);
    return error == std::errc{} && end == last ? number : fallback;
}

} // namespace cicadalug
