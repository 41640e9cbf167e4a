#ifndef CICADALUG_PLATFORM_WRITE_ID_SOURCE_HPP
#define CICADALUG_PLATFORM_WRITE_ID_SOURCE_HPP

#include <cicadalug/base/ids.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>

namespace cicadalug {

/** @brief Makes write ids from entry VM, incarnation and a counter. */
class write_id_source {
public:
    /**
     * @brief Constructs a source.
     * @param writer The entry VM.
     * @param started Its incarnation.
     */
    write_id_source(const entry_vm_id& writer, const incarnation started)
        : m_prefix{writer.str() + '.' + std::to_string(started.value()) + '.'}
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
