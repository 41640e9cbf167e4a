#include <cicadalug/api/precondition.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace cicadalug {

auto parse_precondition(std::string_view if_match, const std::string_view if_none_match, findings& found)
    -> write_precondition
{
    if (if_match.empty() == if_none_match.empty()) {
        found.add("If-Match", "needs the version of the resource, or If-None-Match: * to create it");
        return {};
    }
    if (!if_none_match.empty()) {
        if (if_none_match != "*") {
            found.add("If-None-Match", "is not *");
        }
        return {true, version{}};
    }
    if (if_match.size() >= 2 && if_match.front() == '"' && if_match.back() == '"') {
        if_match = if_match.substr(1, if_match.size() - 2);
    }
    std::uint64_t number{};
    const auto* last = if_match.data() + if_match.size();
    const auto [end, error] = std::from_chars(if_match.data(), last, number);
    if (error != std::errc{} || end != last || number == 0) {
        found.add("If-Match", "is not a version: " + std::string{if_match});
    }
    return {false, version{number}};
}

} // namespace cicadalug
