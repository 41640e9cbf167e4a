#ifndef CICADALUG_BASE_STRONG_NUMBER_HPP
#define CICADALUG_BASE_STRONG_NUMBER_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>

namespace cicadalug {

/**
 * @brief Strongly typed number. Numbers with different tags cannot be converted into each other, compared or added.
 * @note Thread safety: distinct objects can be used concurrently.
 * @tparam Tag Empty type that names the kind or the unit.
 * @tparam Rep Arithmetic type of the value.
 */
template<typename Tag, typename Rep>
class strong_number {
public:
    using rep = Rep;

    /** @brief Constructs zero. */
    constexpr strong_number() = default;

    /**
     * @brief Constructs a number from its value.
     * @param value The value, in the unit that the tag names.
     */
    constexpr explicit strong_number(const Rep value) noexcept : m_value{value} {}

    /**
     * @brief Returns the underlying value.
     * @return The value, in the unit that the tag names.
     */
    [[nodiscard]] constexpr auto value() const noexcept -> Rep { return m_value; }

    /** @brief Orders numbers by value. */
    [[nodiscard]] friend constexpr auto operator<=>(const strong_number&, const strong_number&) noexcept
        -> std::strong_ordering = default;

    /** @brief Adds two numbers with the same tag. */
    [[nodiscard]] friend constexpr auto operator+(const strong_number left, const strong_number right) noexcept
        -> strong_number
    {
        return strong_number{static_cast<Rep>(left.m_value + right.m_value)};
    }

    /** @brief Subtracts two numbers with the same tag. */
    [[nodiscard]] friend constexpr auto operator-(const strong_number left, const strong_number right) noexcept
        -> strong_number
    {
        return strong_number{static_cast<Rep>(left.m_value - right.m_value)};
    }

    /** @brief Writes the value of a number to a stream. */
    friend auto operator<<(std::ostream& stream, const strong_number number) -> std::ostream&
    {
        return stream << +number.m_value;
    }

    /**
     * @brief Reads or writes the number with a cereal archive.
     * @param archive The archive.
     */
    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_value);
    }

private:
    Rep m_value{};
};

} // namespace cicadalug

/** @brief Hashes a number by its value. */
template<typename Tag, typename Rep>
struct std::hash<cicadalug::strong_number<Tag, Rep>> {
    [[nodiscard]] auto operator()(const cicadalug::strong_number<Tag, Rep> number) const noexcept -> std::size_t
    {
        return std::hash<Rep>{}(number.value());
    }
};

#endif
