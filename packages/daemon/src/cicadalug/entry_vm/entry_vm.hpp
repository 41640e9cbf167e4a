#ifndef CICADALUG_ENTRY_VM_ENTRY_VM_HPP
#define CICADALUG_ENTRY_VM_ENTRY_VM_HPP

#include <cicadalug/base/result.hpp>
#include <cicadalug/settings/settings.hpp>

#include <memory>

namespace cicadalug {

/**
 * @brief One entry VM: connects the replica, membership, control, the operators' API and the request path.
 * @note Thread safety: run() is called once; the other functions can be called concurrently with it.
 */
class entry_vm {
public:
    /**
     * @brief Creates an entry VM without starting it.
     * @param given Settings of the entry VM.
     * @return The entry VM, or a finding if an address is not available.
     */
    [[nodiscard]] static auto make(settings given) -> result<std::unique_ptr<entry_vm>>;

    entry_vm(const entry_vm&) = delete;
    entry_vm(entry_vm&&) = delete;
    auto operator=(const entry_vm&) -> entry_vm& = delete;
    auto operator=(entry_vm&&) -> entry_vm& = delete;
    ~entry_vm();

    /** @brief Runs until SIGTERM or SIGINT and a graceful shutdown. */
    auto run() -> void;

    /** @brief Implementation of an entry VM, with all its components. */
    class implementation;

private:
    explicit entry_vm(std::unique_ptr<implementation> made);

    std::unique_ptr<implementation> m_implementation;
};

} // namespace cicadalug

#endif
