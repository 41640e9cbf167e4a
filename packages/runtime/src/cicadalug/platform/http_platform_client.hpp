#ifndef CICADALUG_PLATFORM_HTTP_PLATFORM_CLIENT_HPP
#define CICADALUG_PLATFORM_HTTP_PLATFORM_CLIENT_HPP

#include <cicadalug/http/message.hpp>
#include <cicadalug/platform/platform_client.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <cstdint>
#include <memory>

namespace cicadalug {

/** @brief Timeouts of the calls. */
struct platform_timeouts {
    /** @brief Timeout of one call. Responses normally take milliseconds; a slow platform takes longer. */
    milliseconds m_call{2'000};
    /** @brief Time without any event after which a watch is considered broken. The platform sends one event each
     * second. */
    milliseconds m_watch_timeout{3'500};
};

/** @brief Client of the platform that uses JSON over HTTP. Connections are reused for later calls. */
class http_platform_client final : public platform_client {
public:
    /**
     * @brief Constructs a client, which connects on the first call.
     * @param executor Executor of the calls; the client creates a strand on it.
     * @param endpoint Address and port of the platform.
     * @param timeouts Timeouts of the calls.
     */
    http_platform_client(const asio::any_io_executor& executor, const tcp_endpoint& endpoint,
                         const platform_timeouts& timeouts);
    http_platform_client(const http_platform_client&) = delete;
    http_platform_client(http_platform_client&&) = delete;
    auto operator=(const http_platform_client&) -> http_platform_client& = delete;
    auto operator=(http_platform_client&&) -> http_platform_client& = delete;
    ~http_platform_client() override;

    [[nodiscard]] auto get(std::string key) -> asio::awaitable<platform_result<kv_entry>> override;
    [[nodiscard]] auto range(std::string prefix) -> asio::awaitable<platform_result<kv_range>> override;
    [[nodiscard]] auto put_once(kv_write write) -> asio::awaitable<platform_result<version>> override;
    [[nodiscard]] auto grant_lease(milliseconds ttl) -> asio::awaitable<platform_result<lease_id>> override;
    [[nodiscard]] auto keep_alive(lease_id lease) -> asio::awaitable<platform_result<lease_id>> override;
    [[nodiscard]] auto revoke_lease(lease_id lease) -> asio::awaitable<platform_result<lease_id>> override;
    [[nodiscard]] auto watch(std::string prefix, version after)
        -> asio::awaitable<platform_result<std::unique_ptr<platform_watch>>> override;
    [[nodiscard]] auto list_vms(availability_zone_id zone)
        -> asio::awaitable<platform_result<std::vector<platform_vm>>> override;
    [[nodiscard]] auto reboot(vm_id vm) -> asio::awaitable<platform_result<vm_id>> override;

    /** @brief Returns the number of calls since construction. */
    [[nodiscard]] auto calls() const noexcept -> std::uint64_t;

    /** @brief Strand, idle connections and counters, shared with running calls. */
    class state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace cicadalug

#endif
