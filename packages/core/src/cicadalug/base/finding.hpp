#ifndef CICADALUG_BASE_FINDING_HPP
#define CICADALUG_BASE_FINDING_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief One fault in an input, with its place. */
struct finding {
    /** @brief Where: a file with line and column, a path in a document, or the name of a header. */
    std::string m_place;
    /** @brief What is wrong and what is expected. */
    std::string m_message;

    [[nodiscard]] friend auto operator==(const finding&, const finding&) -> bool = default;
};

/**
 * @brief Collects all faults of an input, so that they are reported together.
 * @note Thread safety: distinct objects can be used concurrently.
 */
class findings {
public:
    /** @brief Constructs an empty collection. */
    findings() = default;

    /**
     * @brief Constructs a collection of one finding.
     * @param place Where the fault is.
     * @param message What is wrong.
     */
    findings(std::string place, std::string message);

    /**
     * @brief Adds a finding.
     * @param place Where the fault is.
     * @param message What is wrong.
     */
    auto add(std::string place, std::string message) -> void;

    /**
     * @brief Adds all findings of another collection, with a prefix before each place.
     * @param other The other collection.
     * @param prefix Text put before each place, may be empty.
     */
    auto append(const findings& other, std::string_view prefix = {}) -> void;

    /**
     * @brief Checks whether nothing was found.
     * @return True if there is no finding, false otherwise.
     */
    [[nodiscard]] auto empty() const noexcept -> bool { return m_items.empty(); }

    /**
     * @brief Returns the findings in the order in which they were added.
     * @return The findings.
     */
    [[nodiscard]] auto items() const noexcept -> const std::vector<finding>& { return m_items; }

    /**
     * @brief Formats the findings for people.
     * @return One line "place: message" for each finding, without a line feed at the end.
     */
    [[nodiscard]] auto to_string() const -> std::string;

private:
    std::vector<finding> m_items;
};

} // namespace cicadalug

#endif
