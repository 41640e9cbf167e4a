#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/platform/compare_and_swap.hpp>
#include <cicadalug/replication/kv_claim_store.hpp>

#include <utility>

namespace cicadalug {

namespace {

/** @brief Minimum retention of a claim; equal to that of the order journal. */
constexpr milliseconds retention{600'000};
/** @brief Time during which claims share a lease, so that granting leases adds almost no platform calls. */
constexpr milliseconds lease_sharing_period{600'000};
/** @brief A shorter timeout leaves no time to read a key again after a lost response. */
constexpr milliseconds min_timeout_for_retry{4'000};

} // namespace

kv_claim_store::kv_claim_store(platform_client& platform, write_id_source& ids, const entry_vm_id& self,
                               const availability_zone_id& zone, const incarnation started)
    : m_platform{platform}, m_ids{ids}, m_claim_template{{}, zone, self, started, {}}
{
}

auto kv_claim_store::current_lease() -> asio::awaitable<std::optional<lease_id>>
{
    const auto now = monotonic_now();
    {
        const std::lock_guard lock{m_mutex};
        if (m_lease && now < m_lease->m_last_use) {
            co_return m_lease->m_id;
        }
    }
    const auto granted = co_await m_platform.grant_lease(lease_sharing_period + retention);
    if (!granted) {
        co_return std::nullopt;
    }
    const std::lock_guard lock{m_mutex};
    m_lease = shared_lease{granted.assume_value(), now + lease_sharing_period};
    co_return granted.assume_value();
}

auto kv_claim_store::acquire(const key_digest key, const milliseconds timeout)
    -> asio::awaitable<result<claim_grant, claim_failure>>
{
    const auto lease = co_await current_lease();
    if (!lease) {
        co_return claim_failure::unavailable;
    }
    auto requested = m_claim_template;
    requested.m_key = key;
    requested.m_write = m_ids.next();
    kv_write write;
    write.m_key = claim_store_key(key);
    write.m_value = to_json_text(requested);
    write.m_write_id = requested.m_write;
    write.m_lease = *lease;
    const auto written = co_await compare_and_swap(m_platform, write, timeout < min_timeout_for_retry ? 1 : 3);
    if (written) {
        co_return claim_grant{requested, true};
    }
    const auto& error = written.assume_error();
    if (error.m_kind == platform_error_kind::conflict) {
        const auto found = parse_claim(error.m_current.m_value);
        if (found) {
            co_return claim_grant{found.assume_value(), false};
        }
    }
    if (error.m_kind == platform_error_kind::rejected) {
        // The lease ended early, for example because the platform lost it.
        const std::lock_guard lock{m_mutex};
        m_lease.reset();
    }
    co_return claim_failure::unavailable;
}

} // namespace cicadalug
