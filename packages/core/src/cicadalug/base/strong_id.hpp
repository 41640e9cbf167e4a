#ifndef CICADALUG_BASE_STRONG_ID_HPP
#define CICADALUG_BASE_STRONG_ID_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace cicadalug {

/**
 * @brief Strongly typed text identifier. Identifiers with different tags are not convertible into each other.
 * @note Thread safety: distinct objects can be used concurrently.
 * @tparam Tag Empty type that names the kind of identified object.
 */
template<typename Tag>
class strong_id {
public:
    /** @brief Constructs an empty identifier, which does not identify anything. */
    strong_id() = default;

    /**
     * @brief Constructs an identifier from its text.
     * @param text The text, any characters.
     */
    explicit strong_id(std::string text) noexcept : m_text{std::move(text)} {}

    /**
     * @brief Returns the text of the identifier.
     * @return The text; empty for an empty identifier.
     */
    [[nodiscard]] auto str() const noexcept -> const std::string& { return m_text; }

    /**
     * @brief Checks whether the identifier is empty.
     * @return True if the text is empty, false otherwise.
     */
    [[nodiscard]] auto empty() const noexcept -> bool { return m_text.empty(); }

    /** @brief Orders identifiers by their text. */
    [[nodiscard]] friend auto operator<=>(const strong_id&, const strong_id&) noexcept
        -> std::strong_ordering = default;

    /** @brief Writes the text of an identifier to a stream. */
    friend auto operator<<(std::ostream& stream, const strong_id& id) -> std::ostream& { return stream << id.m_text; }

    /**
     * @brief Reads or writes the identifier with a cereal archive.
     * @param archive The archive.
     */
    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_text);
    }

private:
    std::string m_text;
};

} // namespace cicadalug

/** @brief Hashes an identifier by its text. */
template<typename Tag>
struct std::hash<cicadalug::strong_id<Tag>> {
    [[nodiscard]] auto operator()(const cicadalug::strong_id<Tag>& id) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(id.str());
    }
};

#endif
