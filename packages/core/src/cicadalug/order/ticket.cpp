#include <cicadalug/order/ticket.hpp>

#include <array>
#include <charconv>
#include <cstddef>
#include <optional>

namespace cicadalug {

namespace {

constexpr char separator = '~';
constexpr std::string_view format_version = "t1";
constexpr std::size_t max_ticket_length = 256;
constexpr std::size_t part_count = 5;

using ticket_parts = std::array<std::string_view, part_count>;

[[nodiscard]] auto split(std::string_view text) -> std::optional<ticket_parts>
{
    ticket_parts parts;
    for (std::size_t i = 0; i + 1 < part_count; ++i) {
        const auto end = text.find(separator);
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        parts[i] = text.substr(0, end);
        text.remove_prefix(end + 1);
    }
    parts.back() = text;
    return parts;
}

[[nodiscard]] auto parse_number(const std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t number{};
    const auto* last = text.data() + text.size();
    const auto [end, status] = std::from_chars(text.data(), last, number);
    if (status != std::errc{} || end != last) {
        return std::nullopt;
    }
    return number;
}

} // namespace

auto to_string(const ticket& value) -> std::string
{
    std::string text{format_version};
    text += separator + value.m_availability_zone.str();
    text += separator + value.m_issuer.str();
    text += separator + std::to_string(value.m_incarnation.value());
    text += separator + std::to_string(value.m_number.value());
    return text;
}

auto parse_ticket(const std::string_view text) -> result<ticket>
{
    const auto parts = text.size() <= max_ticket_length ? split(text) : std::nullopt;
    if (!parts || parts->front() != format_version || (*parts)[1].empty() || (*parts)[2].empty()) {
        return findings{"X-Ticket", "is not a ticket of POST /v1/tickets"};
    }
    const auto start = parse_number((*parts)[3]);
    const auto number = parse_number((*parts)[4]);
    if (!start || !number || *number == 0) {
        return findings{"X-Ticket", "has an incarnation or a number that is not a positive integer"};
    }
    return ticket{availability_zone_id{std::string{(*parts)[1]}}, entry_vm_id{std::string{(*parts)[2]}},
                  incarnation{*start}, ticket_number{*number}};
}

} // namespace cicadalug
