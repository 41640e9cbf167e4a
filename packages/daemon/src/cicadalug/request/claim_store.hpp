#ifndef CICADALUG_REQUEST_CLAIM_STORE_HPP
#define CICADALUG_REQUEST_CLAIM_STORE_HPP

#include <cicadalug/order/claim.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace cicadalug {

/** @brief Result of claiming an idempotency key in the key-value service. */
struct claim_grant {
    /** @brief The claim that is stored under the key. */
    claim m_in_force;
    /** @brief True if this call stored the claim, false if it existed already. */
    bool m_newly_claimed{false};
};

/** @brief Reason why no claim was obtained. The order is then not run. */
enum class claim_failure : std::uint8_t {
    /** @brief The key-value service did not respond in time. */
    unavailable,
};

/**
 * @brief Claims of idempotency keys in the key-value service. Implemented by replication.
 * @note Thread safety: implementations allow concurrent calls.
 */
class claim_store {
public:
    claim_store() = default;
    claim_store(const claim_store&) = delete;
    claim_store(claim_store&&) = delete;
    auto operator=(const claim_store&) -> claim_store& = delete;
    auto operator=(claim_store&&) -> claim_store& = delete;
    virtual ~claim_store() = default;

    /**
     * @brief Claims a key for this entry VM, or returns the existing claim of another one.
     * @param key Digest of the key.
     * @param timeout Maximum duration of the call.
     * @return The stored claim, or the reason why there is none.
     */
    [[nodiscard]] virtual auto acquire(key_digest key, milliseconds timeout)
        -> boost::asio::awaitable<result<claim_grant, claim_failure>> = 0;
};

} // namespace cicadalug

#endif
