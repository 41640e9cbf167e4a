#ifndef CICADALUG_BASE_FINDING_HPP
#define CICADALUG_BASE_FINDING_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief One error in an input, with its location. */
struct finding {
    /** @brief Location: a file with line and column, a path in a document, or the name of a header. */
    std::string m_place;
    /** @brief Description of the error and of the expected input. */
    std::string m_message;

    [[nodiscard]] friend auto operator==(const finding&, const finding&) -> bool = default;
};

/**
 * @brief Collects all errors of an input, so that they are reported together.
 * @note Thread safety: distinct objects can be used concurrently.
 */
class findings {
public:
    /** @brief Constructs an empty collection. */
    findings() = default;

    /**
     * @brief Constructs a collection of one finding.
     * @param place Location of the error.
     * @param message Description of the error.
     */
    findings(std::string place, std::string message);

    /**
     * @brief Adds a finding.
     * @param place Location of the error.
     * @param message Description of the error.
     */
    auto add(std::string place, std::string message) -> void;

    /**
     * @brief Adds all findings of another collection, with a prefix before each location.
     * @param other The other collection.
     * @param prefix Text put before each location, may be empty.
     */
    auto append(const findings& other, std::string_view prefix = {}) -> void;

    /**
     * @brief Checks whether the collection is empty.
     * @return True if there is no finding, false otherwise.
     */
    [[nodiscard]] auto empty() const noexcept -> bool { return m_items.empty(); }

    /**
     * @brief Returns the findings in the order in which they were added.
     * @return The findings.
     */
    [[nodiscard]] auto items() const noexcept -> const std::vector<finding>& { return m_items; }

    /**
     * @brief Formats the findings as human-readable text.
     * @return One line "place: message" for each finding, without a line feed at the end.
     */
    [[nodiscard]] auto to_string() const -> std::string;

private:
    std::vector<finding> m_items;
};

} // namespace cicadalug

#endif
