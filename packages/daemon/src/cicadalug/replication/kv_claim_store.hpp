#ifndef CICADALUG_DAEMON_REPLICATION_KV_CLAIM_STORE_HPP
#define CICADALUG_DAEMON_REPLICATION_KV_CLAIM_STORE_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/platform/platform_client.hpp>
#include <cicadalug/platform/write_id_source.hpp>
#include <cicadalug/request/claim_store.hpp>

#include <mutex>
#include <optional>

namespace cicadalug {

/**
 * @brief Claims of idempotency keys in the key-value service, with one write for each claim. All claims of a period of
 * some minutes share one lease, which is not renewed; the claims are deleted when it ends.
 * @note Thread safety: all functions can be called concurrently.
 */
class kv_claim_store final : public claim_store {
public:
    /**
     * @brief Constructs the claim store of one incarnation.
     * @param platform Client of the platform.
     * @param ids Source of the write ids of this process.
     * @param self This entry VM.
     * @param zone Its zone.
     * @param started Its incarnation.
     */
    kv_claim_store(platform_client& platform, write_id_source& ids, const entry_vm_id& self,
                   const availability_zone_id& zone, incarnation started);

    [[nodiscard]] auto acquire(key_digest key, milliseconds timeout)
        -> asio::awaitable<result<claim_grant, claim_failure>> override;

private:
    struct shared_lease {
        lease_id m_id;
        time_point m_last_use;
    };

    [[nodiscard]] auto current_lease() -> asio::awaitable<std::optional<lease_id>>;

    platform_client& m_platform;
    write_id_source& m_ids;
    const claim m_claim_template;
    /** @brief Guards m_lease only; no other lock is acquired while it is held. */
    std::mutex m_mutex;
    std::optional<shared_lease> m_lease;
};

} // namespace cicadalug

#endif
