#ifndef CICADALUG_PLATFORM_WRITE_ID_SOURCE_HPP
#define CICADALUG_PLATFORM_WRITE_ID_SOURCE_HPP

#include <cicadalug/base/ids.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>

namespace cicadalug {

/** @brief Generates write ids from the entry VM, its incarnation and a counter. */
class write_id_source {
public:
    /**
     * @brief Constructs a source.
     * @param writer Entry VM that writes.
     * @param own_incarnation Incarnation of the entry VM.
     */
    write_id_source(const entry_vm_id& writer, const incarnation own_incarnation)
        : m_prefix{writer.str() + '.' + std::to_string(own_incarnation.value()) + '.'}
    {
    }

    /**
     * @brief Returns a new write id.
     * @return An id that no other call returns, in this or another process.
     * @note Thread safety: can be called concurrently.
     */
    [[nodiscard]] auto next() -> write_id { return write_id{m_prefix + std::to_string(++m_count)}; }

private:
    std::string m_prefix;
    std::atomic<std::uint64_t> m_count{0};
};

} // namespace cicadalug

#endif
