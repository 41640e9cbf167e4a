#ifndef CICADALUG_PLATFORM_COMPARE_AND_SWAP_HPP
#define CICADALUG_PLATFORM_COMPARE_AND_SWAP_HPP

#include <cicadalug/platform/platform_client.hpp>

namespace cicadalug {

/**
 * @brief Writes a key if it has the expected version. After a lost answer it reads the key again: its own write id
 * means applied, another version means that the race is lost, and an unchanged key means that it tries again.
 * @param client The platform.
 * @param write The write; its write id is new.
 * @param attempts Calls in all, reads included.
 * @return The version of the write, or the error: `conflict` with the key as it is, `unavailable` if the write
 * certainly was not applied, `unknown` if it may have been.
 */
[[nodiscard]] auto compare_and_swap(platform_client& client, kv_write write, int attempts = 4)
    -> asio::awaitable<platform_result<version>>;

} // namespace cicadalug

#endif
