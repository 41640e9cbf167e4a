#ifndef CICADALUG_PLATFORM_PLATFORM_CLIENT_HPP
#define CICADALUG_PLATFORM_PLATFORM_CLIENT_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/platform/types.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cicadalug {

namespace asio = boost::asio;

/** @brief Open watch on a key prefix. @note Thread safety: one call at a time. */
class platform_watch {
public:
    platform_watch() = default;
    platform_watch(const platform_watch&) = delete;
    platform_watch(platform_watch&&) = delete;
    auto operator=(const platform_watch&) -> platform_watch& = delete;
    auto operator=(platform_watch&&) -> platform_watch& = delete;
    virtual ~platform_watch() = default;

    /**
     * @brief Waits for the next event.
     * @return The event, or the error, after which the watch has ended. No event for some seconds, progress events
     * included, is an error, because an open connection can stop delivering data permanently.
     */
    [[nodiscard]] virtual auto next() -> asio::awaitable<platform_result<kv_watch_event>> = 0;
};

/** @brief Client interface of the platform. @note Thread safety: all functions can be called concurrently. */
class platform_client {
public:
    platform_client() = default;
    platform_client(const platform_client&) = delete;
    platform_client(platform_client&&) = delete;
    auto operator=(const platform_client&) -> platform_client& = delete;
    auto operator=(platform_client&&) -> platform_client& = delete;
    virtual ~platform_client() = default;

    /** @brief Reads a key. @return The entry; its version is zero if the key has no value. */
    [[nodiscard]] virtual auto get(std::string key) -> asio::awaitable<platform_result<kv_entry>> = 0;

    /** @brief Reads all keys that begin with a prefix. */
    [[nodiscard]] virtual auto range(std::string prefix) -> asio::awaitable<platform_result<kv_range>> = 0;

    /**
     * @brief Attempts a compare-and-swap once. Most callers should use compare_and_swap().
     * @return The new version, or the error; after `unknown` the write may have taken effect.
     */
    [[nodiscard]] virtual auto put_once(kv_write write) -> asio::awaitable<platform_result<version>> = 0;

    /** @brief Starts a lease. @param ttl Time to live without a renewal. */
    [[nodiscard]] virtual auto grant_lease(milliseconds ttl) -> asio::awaitable<platform_result<lease_id>> = 0;

    /** @brief Renews a lease. @return The lease, or `not_found` if it has ended. */
    [[nodiscard]] virtual auto keep_alive(lease_id lease) -> asio::awaitable<platform_result<lease_id>> = 0;

    /** @brief Ends a lease and deletes the keys bound to it. */
    [[nodiscard]] virtual auto revoke_lease(lease_id lease) -> asio::awaitable<platform_result<lease_id>> = 0;

    /**
     * @brief Watches the keys that begin with a prefix.
     * @param prefix The prefix.
     * @param after Changes with a later revision are delivered, including those made before the call.
     */
    [[nodiscard]] virtual auto watch(std::string prefix, version after)
        -> asio::awaitable<platform_result<std::unique_ptr<platform_watch>>> = 0;

    /**
     * @brief Reads the VMs of one availability zone from the platform's list, which may be out of date.
     * @param zone Availability zone. The whole list would be 3 MB for 15,000 VMs, above the traffic limit of an entry
     * VM.
     */
    [[nodiscard]] virtual auto list_vms(availability_zone_id zone)
        -> asio::awaitable<platform_result<std::vector<platform_vm>>> = 0;

    /** @brief Requests the reboot of a VM. A repeated call during the reboot has no effect. */
    [[nodiscard]] virtual auto reboot(vm_id vm) -> asio::awaitable<platform_result<vm_id>> = 0;
};

} // namespace cicadalug

#endif
