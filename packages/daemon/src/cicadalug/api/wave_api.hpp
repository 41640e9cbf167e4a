#ifndef CICADALUG_API_WAVE_API_HPP
#define CICADALUG_API_WAVE_API_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/http/message.hpp>
#include <cicadalug/platform/platform_client.hpp>

namespace cicadalug {

/**
 * @brief Answers GET /v1/waves/{wave}: how far a wave is in each availability zone, with an account of every VM. It is
 * read from the platform, because an entry VM knows the records of its own zone only.
 * @param platform The platform; outlives the call.
 * @param wave The wave.
 * @return The answer; 404 if no zone has begun the wave, 503 if the platform does not answer.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto wave_response(platform_client& platform, wave_id wave) -> asio::awaitable<http_response>;

} // namespace cicadalug

#endif
