#include <cicadalug/base/nearest_name.hpp>

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace cicadalug {

namespace {

/**
 * @brief Longest name that is compared with the known names, and longest part of an unknown name that a message
 * repeats. Bounds the cost of malicious input.
 */
constexpr std::size_t max_name_length{64};

[[nodiscard]] auto edit_distance(const std::string_view left, const std::string_view right) -> std::size_t
{
    std::vector<std::size_t> distances(right.size() + 1);
    std::iota(distances.begin(), distances.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        auto diagonal = distances[0];
        distances[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const auto substituted = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = distances[j + 1];
            distances[j + 1] = std::min({substituted, diagonal + 1, distances[j] + 1});
        }
    }
    return distances.back();
}

} // namespace

auto nearest_name(const std::string_view name, const std::span<const std::string_view> known) -> std::string_view
{
    if (name.size() > max_name_length) {
        return {};
    }
    std::string_view nearest;
    // A third of the characters, but at least one and at most three, may differ: a more distant name is unlikely to be
    // the intended one.
    auto distance_limit = std::min<std::size_t>(3, std::max<std::size_t>(1, name.size() / 3)) + 1;
    for (const auto candidate : known) {
        const auto distance = edit_distance(name, candidate);
        if (distance < distance_limit) {
            distance_limit = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

auto unknown_name_message(const std::string_view what, const std::string_view name,
                          const std::span<const std::string_view> known) -> std::string
{
    std::string message{"unknown "};
    message.append(what).append(" '").append(name.substr(0, max_name_length)).append("'");
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
