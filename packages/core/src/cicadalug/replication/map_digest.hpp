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

/** @brief Number of buckets of a digest: the text form of a digest (1 KB) fits into the target of a request. */
inline constexpr std::size_t digest_buckets{64};

/**
 * @brief Digest of the keys and versions of a map. Equal maps have equal digests; the digests of different maps are
 * equal with a probability of about 2^-64 per bucket.
 */
struct map_digest {
    /** @brief For each bucket, the exclusive or of the hashes of its entries. */
    std::array<std::uint64_t, digest_buckets> m_buckets{};

    [[nodiscard]] friend auto operator==(const map_digest&, const map_digest&) -> bool = default;
};

/**
 * @brief Returns the bucket of a key.
 * @param key The key.
 * @return A number below digest_buckets.
 */
[[nodiscard]] auto bucket_of(std::string_view key) noexcept -> std::size_t;

/**
 * @brief Adds an entry to a digest, or takes out one that was added.
 * @param digest The digest.
 * @param key Key of the entry.
 * @param entry_version Version of the entry.
 */
auto toggle(map_digest& digest, std::string_view key, version entry_version) noexcept -> void;

/**
 * @brief Combines the digests of two maps without common keys.
 * @param left One digest.
 * @param right The other.
 * @return The digest of both maps together.
 */
[[nodiscard]] auto combine(map_digest left, const map_digest& right) noexcept -> map_digest;

/**
 * @brief Folds a digest into one number for heartbeats.
 * @param digest The digest.
 * @return Zero for an empty map; different maps have different numbers except with a probability of about 2^-64.
 */
[[nodiscard]] auto fold(const map_digest& digest) noexcept -> std::uint64_t;

/**
 * @brief Formats a digest.
 * @param digest The digest.
 * @return 16 hexadecimal digits for each bucket.
 */
[[nodiscard]] auto to_hex(const map_digest& digest) -> std::string;

/**
 * @brief Parses a digest.
 * @param text Text made by to_hex().
 * @return The digest, or nothing if the text is none.
 */
[[nodiscard]] auto digest_from_hex(std::string_view text) noexcept -> std::optional<map_digest>;

} // namespace cicadalug

#endif
