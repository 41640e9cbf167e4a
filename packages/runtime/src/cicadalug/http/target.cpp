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

[[nodiscard]] auto is_kept(const char letter) noexcept -> bool
{
    constexpr std::string_view kept{"-._~/"};
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9') ||
           kept.find(letter) != std::string_view::npos;
}

} // namespace

auto parse_target(const std::string_view target) -> http_target
{
    const auto mark = target.find('?');
    http_target parsed{percent_decode(target.substr(0, mark)), {}};
    auto rest = mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto next = rest.find('&');
        const auto item = rest.substr(0, next);
        const auto equals = item.find('=');
        parsed.m_query[percent_decode(item.substr(0, equals))] =
            equals == std::string_view::npos ? std::string{} : percent_decode(item.substr(equals + 1));
        rest = next == std::string_view::npos ? std::string_view{} : rest.substr(next + 1);
    }
    return parsed;
}

auto percent_encode(const std::string_view text) -> std::string
{
    constexpr std::string_view digits{"0123456789ABCDEF"};
    std::string encoded;
    for (const auto letter : text) {
        if (is_kept(letter)) {
            encoded += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
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
