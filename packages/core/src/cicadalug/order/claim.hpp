#ifndef CICADALUG_ORDER_CLAIM_HPP
#define CICADALUG_ORDER_CLAIM_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>
#include <cicadalug/order/journal.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief Number of keys of the key-value service over which claims are spread. */
inline constexpr unsigned claim_bucket_count = 64;

/** @brief Number of a claim bucket, below claim_bucket_count. */
using bucket_number = strong_number<struct bucket_tag, unsigned>;

/** @brief Seconds since 1970 by the wall clock. Used only to drop old claims, with a margin far above clock errors. */
using wall_seconds = strong_number<struct wall_seconds_tag, std::int64_t>;

/** @brief Digest of an idempotency key, 128 bits, so that two keys do not share a claim. */
struct key_digest {
    std::uint64_t m_high{0};
    std::uint64_t m_low{0};

    [[nodiscard]] friend auto operator<=>(const key_digest&, const key_digest&) noexcept
        -> std::strong_ordering = default;
};

/** @brief Says which incarnation of which entry VM may run the order of an idempotency key. */
struct claim {
    key_digest m_key;
    availability_zone_id m_availability_zone;
    entry_vm_id m_owner;
    incarnation m_incarnation;
    wall_seconds m_claimed_at;

    [[nodiscard]] friend auto operator==(const claim&, const claim&) -> bool = default;
};

/** @brief Value of one key "claim/{bucket}" of the key-value service. */
struct claim_bucket {
    std::vector<claim> m_claims;
    /** @brief Write that stored the value. */
    write_id m_write;
};

/** @brief Bounds of the claims in a bucket. */
struct claim_limits {
    /** @brief Time for which a claim prevents another run, in seconds. */
    std::int64_t m_retention_seconds{86'400};
    /** @brief Claims in one bucket. At 100 bytes each this keeps a value well below 1 MB. */
    std::size_t m_claims_per_bucket{5'000};
};

/** @brief What became of the wanted claims. */
struct claim_result {
    /** @brief Value to store by compare-and-swap. The grants are valid only once it is stored. */
    claim_bucket m_bucket;
    /** @brief For each wanted claim, in order: the claim in force. It is the wanted one if it was granted. */
    std::vector<claim> m_in_force;
    /** @brief For each wanted claim: true if the bucket is full, so that no claim is in force. */
    std::vector<bool> m_refused;
    /** @brief True if the bucket changed and has to be stored. */
    bool m_changed{false};
};

/**
 * @brief Computes the digest of an idempotency key of a service.
 * @param target Service that the order is for; the same key of another service is another order.
 * @param key Value of the Idempotency-Key header.
 * @return The digest.
 */
[[nodiscard]] auto digest_of(const service_id& target, std::string_view key) -> key_digest;

/**
 * @brief Returns the bucket of a key.
 * @param key Digest of the key.
 * @return The bucket.
 */
[[nodiscard]] auto bucket_of(const key_digest& key) noexcept -> bucket_number;

/**
 * @brief Adds claims to a bucket, a batch at a time, so that one write serves many orders.
 * @param bucket Value that was read.
 * @param wanted Claims to add, all of keys of this bucket.
 * @param limits Bounds.
 * @param now Wall-clock time.
 * @return The new value and the claim in force for each wanted one.
 */
[[nodiscard]] auto add_claims(claim_bucket bucket, const std::vector<claim>& wanted, const claim_limits& limits,
                              wall_seconds now) -> claim_result;

/**
 * @brief Formats a bucket as JSON.
 * @param bucket The bucket.
 * @return The text.
 */
[[nodiscard]] auto to_json_text(const claim_bucket& bucket) -> std::string;

/**
 * @brief Parses a bucket.
 * @param text Value of the key-value service; empty for a key that does not exist.
 * @return The bucket, or findings.
 */
[[nodiscard]] auto parse_claim_bucket(std::string_view text) -> result<claim_bucket>;

} // namespace cicadalug

#endif
