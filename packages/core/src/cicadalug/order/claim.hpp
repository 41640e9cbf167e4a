#ifndef CICADALUG_ORDER_CLAIM_HPP
#define CICADALUG_ORDER_CLAIM_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Digest of an idempotency key, with 128 bits so that two keys do not share a claim. */
struct key_digest {
    std::uint64_t m_high{0};
    std::uint64_t m_low{0};

    [[nodiscard]] friend auto operator<=>(const key_digest&, const key_digest&) noexcept
        -> std::strong_ordering = default;
};

/** @brief States which incarnation of which entry VM is allowed to run the order of an idempotency key. */
struct claim {
    key_digest m_key;
    availability_zone_id m_availability_zone;
    entry_vm_id m_owner;
    incarnation m_incarnation;
    /** @brief Write that stored the claim. If the response is lost, the owner recognizes its own claim by it. */
    write_id m_write;

    [[nodiscard]] friend auto operator==(const claim&, const claim&) -> bool = default;
};

/**
 * @brief Computes the digest of an idempotency key of a service.
 * @param target Service that the order is for; the same key for another service is another order.
 * @param key Value of the Idempotency-Key header.
 * @return The digest.
 */
[[nodiscard]] auto digest_of(const service_id& target, std::string_view key) -> key_digest;

/**
 * @brief Returns the key under which a claim is stored in the key-value service. The entry is created, never changed,
 * and bound to a lease that ends after the retention. One order therefore costs one write, and a race between two entry
 * VMs has one winner.
 * @param key Digest of the idempotency key.
 * @return The key, "claim/" and 32 hexadecimal digits.
 */
[[nodiscard]] auto claim_store_key(const key_digest& key) -> std::string;

/**
 * @brief Formats a claim as JSON.
 * @param value The claim.
 * @return The text.
 */
[[nodiscard]] auto to_json_text(const claim& value) -> std::string;

/**
 * @brief Parses a claim.
 * @param text Value read from the key-value service.
 * @return The claim, or findings.
 */
[[nodiscard]] auto parse_claim(std::string_view text) -> result<claim>;

} // namespace cicadalug

#endif
