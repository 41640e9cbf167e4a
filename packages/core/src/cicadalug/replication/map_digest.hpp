#ifndef CICADALUG_REPLICATION_MAP_DIGEST_HPP
#define CICADALUG_REPLICATION_MAP_DIGEST_HPP

#include <cicadalug/base/ids.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Number of buckets of a digest. The text form of a digest (1 KB) fits into the target of an HTTP request. */
inline constexpr std::size_t digest_buckets{64};

/**
 * @brief Digest of the keys and versions of a map. Equal maps have equal digests; different maps have equal digests
 * with a probability of about 2^-64 per bucket.
 */
struct map_digest {
    /** @brief For each bucket, the XOR of the hashes of its entries. */
    std::array<std::uint64_t, digest_buckets> m_buckets{};

    [[nodiscard]] friend auto operator==(const map_digest&, const map_digest&) -> bool = default;
};

/**
 * @brief Returns the index of the bucket that a key belongs to.
 * @param key The key.
 * @return A number below digest_buckets.
 */
[[nodiscard]] auto bucket_of(std::string_view key) noexcept -> std::size_t;

/**
 * @brief Adds an entry to a digest, or removes it if it was added before.
 * @param digest The digest.
 * @param key Key of the entry.
 * @param entry_version Version of the entry.
 */
auto toggle_entry(map_digest& digest, std::string_view key, version entry_version) noexcept -> void;

/**
 * @brief Combines the digests of two maps that have no keys in common.
 * @param left One digest.
 * @param right The other.
 * @return The digest of the union of both maps.
 */
[[nodiscard]] auto combine(map_digest left, const map_digest& right) noexcept -> map_digest;

/**
 * @brief Folds a digest into one number that is short enough for heartbeats.
 * @param digest The digest.
 * @return Zero for an empty map; different maps have different numbers except with a probability of about 2^-64.
 */
[[nodiscard]] auto fold(const map_digest& digest) noexcept -> std::uint64_t;

/**
 * @brief Formats a digest as hexadecimal text.
 * @param digest The digest.
 * @return 16 hexadecimal digits for each bucket.
 */
[[nodiscard]] auto to_hex(const map_digest& digest) -> std::string;

/**
 * @brief Parses a digest from hexadecimal text.
 * @param text Text in the format of to_hex().
 * @return The digest, or no value if the text is not a valid digest.
 */
[[nodiscard]] auto digest_from_hex(std::string_view text) noexcept -> std::optional<map_digest>;

} // namespace cicadalug

#endif
