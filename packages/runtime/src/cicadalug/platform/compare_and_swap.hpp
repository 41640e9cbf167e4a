#ifndef CICADALUG_PLATFORM_COMPARE_AND_SWAP_HPP
#define CICADALUG_PLATFORM_COMPARE_AND_SWAP_HPP

#include <cicadalug/platform/platform_client.hpp>

namespace cicadalug {

/**
 * @brief Writes a key if it has the expected version. If the response is lost, it reads the key: its own write id means
 * that the write was applied, another version means that another writer won, and an unchanged key is written again.
 * @param client Client of the platform.
 * @param write The write, with a write id that was not used before.
 * @param attempts Maximum number of calls, including reads.
 * @return The version of the write, or the error: `conflict` with the current entry, `unavailable` if the write
 * certainly was not applied, `unknown` if it may have been applied.
 */
[[nodiscard]] auto compare_and_swap(platform_client& client, kv_write write, int attempts = 4)
    -> asio::awaitable<platform_result<version>>;

} // namespace cicadalug

#endif
