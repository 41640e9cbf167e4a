#ifndef CICADALUG_API_WAVE_API_HPP
#define CICADALUG_API_WAVE_API_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/http/message.hpp>
#include <cicadalug/platform/platform_client.hpp>

namespace cicadalug {

/**
 * @brief Makes the response to GET /v1/waves/{wave}: the progress of a wave in each availability zone, with the outcome
 * of every VM. It is read from the platform, because an entry VM replicates only the records of its own zone.
 * @param platform Client of the platform; must outlive the call.
 * @param wave The wave.
 * @return The response; 404 if no zone has started the wave, 503 if the platform does not respond.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto wave_response(platform_client& platform, wave_id wave) -> asio::awaitable<http_response>;

} // namespace cicadalug

#endif
