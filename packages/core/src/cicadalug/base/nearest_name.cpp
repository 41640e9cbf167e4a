#include <cicadalug/base/nearest_name.hpp>

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace cicadalug {

namespace {

/** @brief Longest text that messages repeat and names are compared with; bounds the cost of a hostile input. */
constexpr std::size_t longest_name{64};

[[nodiscard]] auto edit_distance(const std::string_view left, const std::string_view right) -> std::size_t
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const auto substituted = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, diagonal + 1, row[j] + 1});
        }
    }
    return row.back();
}

} // namespace

auto nearest_name(const std::string_view name, const std::span<const std::string_view> known) -> std::string_view
{
    if (name.size() > longest_name) {
        return {};
    }
    std::string_view nearest;
    // A name that differs in more than a third of its letters, or three, was hardly meant.
    auto limit = std::min<std::size_t>(3, std::max<std::size_t>(1, name.size() / 3)) + 1;
    for (const auto candidate : known) {
        const auto distance = edit_distance(name, candidate);
        if (distance < limit) {
            limit = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

auto unknown_name_message(const std::string_view what, const std::string_view name,
                          const std::span<const std::string_view> known) -> std::string
{
    std::string message{"unknown "};
    message.append(what).append(" '").append(name.substr(0, longest_name)).append("'");
    if (const auto nearest = nearest_name(name, known); !nearest.empty()) {
        return message.append("; did you mean '").append(nearest).append("'?");
    }
    message.append("; known:");
    for (const auto candidate : known) {
        message.append(" ").append(candidate);
    }
    return message;
}

} // namespace cicadalug
