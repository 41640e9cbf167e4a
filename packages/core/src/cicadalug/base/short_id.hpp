#ifndef CICADALUG_BASE_SHORT_ID_HPP
#define CICADALUG_BASE_SHORT_ID_HPP

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace cicadalug {

/**
 * @brief Strongly typed text identifier of limited length, for objects with many copies.
 *
 * A std::string of 16 characters allocates memory with each copy; this class never does.
 * @note Thread safety: distinct objects can be used concurrently.
 * @tparam Tag Empty type that names the kind of identified object.
 */
template<typename Tag>
class short_id {
public:
    /** @brief Maximum length of the text. */
    static constexpr std::size_t max_size{23};

    /** @brief Constructs an empty identifier, which does not identify anything. */
    short_id() = default;

    /**
     * @brief Constructs an identifier from its text.
     * @param text The text, any characters. A text of more than max_size characters identifies nothing and gives an
     * empty identifier.
     */
    explicit short_id(const std::string_view text) noexcept
        : m_size{static_cast<std::uint8_t>(text.size() > max_size ? 0 : text.size())}
    {
        std::copy_n(text.begin(), m_size, m_text.begin());
    }

    /** @brief Returns the text; valid as long as the identifier. Empty for an empty identifier. */
    [[nodiscard]] auto view() const noexcept -> std::string_view { return {m_text.data(), m_size}; }

    /** @brief Returns a copy of the text; empty for an empty identifier. */
    [[nodiscard]] auto str() const -> std::string { return std::string{view()}; }

    /** @brief Checks whether the identifier is empty. */
    [[nodiscard]] auto empty() const noexcept -> bool { return m_size == 0; }

    [[nodiscard]] friend auto operator==(const short_id&, const short_id&) noexcept -> bool = default;

    /** @brief Orders identifiers by their text. */
    [[nodiscard]] friend auto operator<=>(const short_id& left, const short_id& right) noexcept -> std::strong_ordering
    {
        return left.view() <=> right.view();
    }

    /** @brief Writes the text of an identifier to a stream. */
    friend auto operator<<(std::ostream& stream, const short_id& id) -> std::ostream& { return stream << id.view(); }

    /** @brief Writes the identifier with a cereal archive, in the format of a string. */
    template<typename Archive>
    auto save(Archive& archive) const -> void
    {
        archive(str());
    }

    /** @brief Reads the identifier with a cereal archive. */
    template<typename Archive>
    auto load(Archive& archive) -> void
    {
        std::string text;
        archive(text);
        *this = short_id{text};
    }

private:
    // Unused characters are zero, so that the comparison of all members compares the texts.
    std::array<char, max_size> m_text{};
    std::uint8_t m_size{0};
};

} // namespace cicadalug

/** @brief Hashes an identifier by its text. */
template<typename Tag>
struct std::hash<cicadalug::short_id<Tag>> {
    [[nodiscard]] auto operator()(const cicadalug::short_id<Tag>& id) const noexcept -> std::size_t
    {
        return std::hash<std::string_view>{}(id.view());
    }
};

#endif
