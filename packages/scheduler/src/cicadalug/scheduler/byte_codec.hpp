#ifndef CICADALUG_SCHEDULER_BYTE_CODEC_HPP
#define CICADALUG_SCHEDULER_BYTE_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace cicadalug {

namespace internal {

/** @brief Number of payload bits in a byte of a variable-length integer. */
inline constexpr unsigned varint_bits{7};
inline constexpr std::uint64_t varint_continues{0x80};

} // namespace internal

/**
 * @brief Appends values to a message. Integers have a variable length, strings are preceded by theirs.
 * @note Thread safety: one thread at a time.
 */
class byte_writer {
public:
    /** @brief Begins a message. @param format Its first byte, which names the format. */
    explicit byte_writer(const char format) : m_bytes{format} {}

    /** @brief Appends a number of one to ten bytes. */
    auto number(const std::uint64_t value) -> void
    {
        auto rest = value;
        for (; rest >= internal::varint_continues; rest >>= internal::varint_bits) {
            m_bytes.push_back(
                static_cast<char>((rest & (internal::varint_continues - 1)) | internal::varint_continues));
        }
        m_bytes.push_back(static_cast<char>(rest));
    }

    /** @brief Appends a number with a sign. */
    auto integer(const std::int64_t value) -> void
    {
        // Zigzag: small negative numbers are short, too.
        number((static_cast<std::uint64_t>(value) << 1U) ^ static_cast<std::uint64_t>(value >> 63));
    }

    /** @brief Appends a text. */
    auto text(const std::string_view value) -> void
    {
        number(value.size());
        m_bytes += value;
    }

    /** @brief Returns the message, which is empty afterwards. */
    [[nodiscard]] auto take() -> std::string { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

/**
 * @brief Reads what byte_writer has written. After the first error, all values are empty.
 * @note Thread safety: one thread at a time.
 */
class byte_reader {
public:
    /** @brief Reads a message. @param bytes The message; must outlive the reader. @param format Its first byte. */
    byte_reader(const std::string_view bytes, const char format) : m_bytes{bytes}
    {
        m_failed = m_bytes.empty() || m_bytes.front() != format;
        m_position = 1;
    }

    /** @brief Reads a number that was written by byte_writer::number(). */
    [[nodiscard]] auto number() -> std::uint64_t
    {
        std::uint64_t value{0};
        for (unsigned shift{0}; shift < std::numeric_limits<std::uint64_t>::digits; shift += internal::varint_bits) {
            if (m_failed || m_position >= m_bytes.size()) {
                break;
            }
            const auto byte = static_cast<unsigned char>(m_bytes[m_position++]);
            value |= (byte & (internal::varint_continues - 1)) << shift;
            if (byte < internal::varint_continues) {
                return value;
            }
        }
        m_failed = true;
        return 0;
    }

    /** @brief Reads a number with a sign. */
    [[nodiscard]] auto integer() -> std::int64_t
    {
        const auto value = number();
        return static_cast<std::int64_t>(value >> 1U) ^ -static_cast<std::int64_t>(value & 1U);
    }

    /** @brief Reads a text. @return A view of the message. */
    [[nodiscard]] auto view() -> std::string_view
    {
        const auto size = number();
        if (m_failed || size > m_bytes.size() - m_position) {
            m_failed = true;
            return {};
        }
        const auto value = m_bytes.substr(m_position, size);
        m_position += size;
        return value;
    }

    /** @brief Reads a text. @return A copy. */
    [[nodiscard]] auto text() -> std::string { return std::string{view()}; }

    /** @brief Reads an enumerator. @param last The highest valid one. */
    template<typename Enum>
    [[nodiscard]] auto enumerator(const Enum last) -> Enum
    {
        const auto value = number();
        m_failed = m_failed || value > static_cast<std::uint64_t>(last);
        return m_failed ? Enum{} : static_cast<Enum>(value);
    }

    /** @brief Reads the length of a list whose elements take at least one byte each. */
    [[nodiscard]] auto count() -> std::size_t
    {
        const auto value = number();
        m_failed = m_failed || value > m_bytes.size() - m_position;
        return m_failed ? 0 : static_cast<std::size_t>(value);
    }

    /** @brief Rejects the message, for values that it must not have. */
    auto fail() -> void { m_failed = true; }

    /** @brief Checks whether the message has been rejected. */
    [[nodiscard]] auto has_failed() const noexcept -> bool { return m_failed; }

    /** @brief Checks whether the whole message was read without an error. */
    [[nodiscard]] auto is_complete() const -> bool { return !m_failed && m_position == m_bytes.size(); }

private:
    std::string_view m_bytes;
    std::size_t m_position{0};
    bool m_failed{false};
};

} // namespace cicadalug

#endif
