#include <cicadalug/request/caller_request.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <iterator>

namespace cicadalug {

namespace {

constexpr std::string_view path_prefix{"/v1/services/"};
constexpr std::string_view path_suffix{"/requests"};

constexpr std::size_t max_id_length{64};
constexpr std::size_t max_key_length{128};

/** @brief Maximum deadline of a request: one day. */
constexpr std::int64_t max_deadline_ms{86'400'000};

constexpr std::array<std::string_view, 7> checked_headers{
    "X-Deadline-Ms", "X-Priority", "X-Team", "Idempotent", "X-Ticket", "Idempotency-Key", "X-Request-Id"};

[[nodiscard]] auto to_beast(const std::string_view text) -> beast::string_view
{
    return {text.data(), text.size()};
}

[[nodiscard]] auto header_value(const http_request& request, const std::string_view header) -> std::string_view
{
    const auto value = request[to_beast(header)];
    return {value.data(), value.size()};
}

[[nodiscard]] auto has_header(const http_request& request, const std::string_view header) -> bool
{
    return request.find(to_beast(header)) != request.end();
}

[[nodiscard]] auto is_id_character(const char character) -> bool
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.' ||
           character == ':';
}

[[nodiscard]] auto is_visible(const char character) -> bool
{
    return character > ' ' && character <= '~';
}

[[nodiscard]] auto read_id(const http_request& request, const std::string_view header, findings& found) -> std::string
{
    const auto text = header_value(request, header);
    if (!has_header(request, header)) {
        return {};
    }
    if (text.empty() || text.size() > max_id_length || !std::all_of(text.begin(), text.end(), is_id_character)) {
        found.add(std::string{header}, "is not 1 to 64 letters, digits, '-', '_', '.' or ':'");
        return {};
    }
    return std::string{text};
}

[[nodiscard]] auto read_key(const http_request& request, const std::string_view header, findings& found) -> std::string
{
    const auto text = header_value(request, header);
    if (!has_header(request, header)) {
        return {};
    }
    if (text.empty() || text.size() > max_key_length || !std::all_of(text.begin(), text.end(), is_visible)) {
        found.add(std::string{header}, "is not 1 to 128 visible ASCII characters");
        return {};
    }
    return std::string{text};
}

/** @brief Returns true if the header has the first of two allowed values; an absent header counts as the second. */
[[nodiscard]] auto read_choice(const http_request& request, const std::string_view header, const std::string_view first,
                               const std::string_view second, findings& found) -> bool
{
    const auto text = header_value(request, header);
    if (has_header(request, header) && text != first && text != second) {
        found.add(std::string{header}, "is neither '" + std::string{first} + "' nor '" + std::string{second} + "'");
    }
    return text == first;
}

[[nodiscard]] auto read_deadline(const http_request& request, findings& found) -> std::optional<milliseconds>
{
    constexpr std::string_view header{"X-Deadline-Ms"};
    if (!has_header(request, header)) {
        return std::nullopt;
    }
    const auto text = header_value(request, header);
    std::int64_t number{};
    const auto* const end = std::next(text.data(), static_cast<std::ptrdiff_t>(text.size()));
    const auto [last, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || last != end || number < 1 || number > max_deadline_ms) {
        found.add(std::string{header}, "is not a whole number from 1 to " + std::to_string(max_deadline_ms));
        return std::nullopt;
    }
    return milliseconds{number};
}

auto check_repeated(const http_request& request, findings& found) -> void
{
    for (const auto header : checked_headers) {
        const auto [first, last] = request.equal_range(to_beast(header));
        if (std::distance(first, last) > 1) {
            found.add(std::string{header}, "appears more than once");
        }
    }
}

} // namespace

auto service_of_target(const std::string_view target) -> service_id
{
    const auto path = target.substr(0, target.find('?'));
    if (!path.starts_with(path_prefix)) {
        return {};
    }
    const auto rest = path.substr(path_prefix.size());
    const auto name = rest.substr(0, rest.find('/'));
    const auto subpath = rest.substr(name.size());
    const auto matches =
        subpath == path_suffix || (subpath.starts_with(path_suffix) && subpath[path_suffix.size()] == '/');
    return matches ? service_id{std::string{name}} : service_id{};
}

auto parse_caller_request(const http_request& request, findings& found) -> caller_request
{
    caller_request parsed;
    if (request.method() != http::verb::post) {
        found.add("method", "is not POST");
    }
    const auto target = request.target();
    parsed.m_service = service_of_target({target.data(), target.size()});
    if (parsed.m_service.empty()) {
        found.add("target", "is not /v1/services/{service}/requests");
    }
    check_repeated(request, found);
    parsed.m_id = request_id{read_id(request, "X-Request-Id", found)};
    parsed.m_deadline = read_deadline(request, found);
    parsed.m_urgent = read_choice(request, "X-Priority", "urgent", "normal", found);
    parsed.m_team = team_id{read_id(request, "X-Team", found)};
    parsed.m_idempotent = read_choice(request, "Idempotent", "true", "false", found);
    parsed.m_ticket = read_key(request, "X-Ticket", found);
    parsed.m_idempotency_key = read_key(request, "Idempotency-Key", found);
    if (!parsed.m_ticket.empty() && !parsed.m_idempotency_key.empty()) {
        found.add("Idempotency-Key", "cannot be combined with X-Ticket");
    }
    return parsed;
}

} // namespace cicadalug
