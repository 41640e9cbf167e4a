#ifndef CICADALUG_PLATFORM_MEMORY_PLATFORM_HPP
#define CICADALUG_PLATFORM_MEMORY_PLATFORM_HPP

#include <cicadalug/platform/platform_client.hpp>

#include <deque>
#include <map>

namespace cicadalug {

/** @brief Fault that is injected into a call of a memory_platform. */
enum class memory_platform_fault : std::uint8_t {
    none,
    /** @brief The call is not executed and fails as unavailable. */
    unavailable,
    /** @brief The call is not executed and fails as unknown. */
    lost_request,
    /** @brief The call is executed and fails as unknown. */
    lost_response,
};

/**
 * @brief In-memory platform for tests of its users. Calls complete immediately, leases end only by end_lease() or
 * revoke_lease(), and a watch fails when it has no further event.
 * @note Thread safety: one thread.
 */
class memory_platform final : public platform_client {
public:
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

    /** @brief Queues a fault. Each later call consumes one fault, in the order in which they were added. */
    auto add_fault(memory_platform_fault fault) -> void { m_faults.push_back(fault); }

    /** @brief Ends a lease as if it had expired. */
    auto end_lease(const lease_id& lease) -> void;

    /** @brief Returns all entries, including tombstones. */
    [[nodiscard]] auto entries() const noexcept -> const std::map<std::string, kv_entry>& { return m_entries; }

    /** @brief Returns the modifiable list of VMs. A reboot increments the VM's boot count immediately. */
    [[nodiscard]] auto vms() noexcept -> std::vector<platform_vm>& { return m_vms; }

private:
    [[nodiscard]] auto next_fault() -> memory_platform_fault;
    template<typename Type, typename Function>
    [[nodiscard]] auto call(Function function) -> platform_result<Type>;
    [[nodiscard]] auto write(const kv_write& request) -> platform_result<version>;

    std::deque<memory_platform_fault> m_faults;
    std::map<std::string, kv_entry> m_entries;
    std::map<lease_id, milliseconds> m_leases;
    std::vector<platform_vm> m_vms;
    std::uint64_t m_revision{0};
    std::uint64_t m_lease_count{0};
};

} // namespace cicadalug

#endif
