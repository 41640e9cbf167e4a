#ifndef CICADALUG_ENTRY_RELAY_PATHS_HPP
#define CICADALUG_ENTRY_RELAY_PATHS_HPP

#include <cicadalug/base/time.hpp>

#include <string_view>

namespace cicadalug::internal {

/** @brief Path prefixes of the requests of relays to the decider; the name of the relay follows. */
inline constexpr std::string_view relay_poll_path{"/relay/poll/"};
inline constexpr std::string_view relay_results_path{"/relay/results/"};

/** @brief Header with the availability zone of the relay. */
inline constexpr std::string_view relay_zone_header{"X-Zone"};

/** @brief Header with the fencing token of the term that a relay polls, or that answers it. */
inline constexpr std::string_view relay_token_header{"X-Token"};

/** @brief Header with the time for which the decider has held a poll, in microseconds. */
inline constexpr std::string_view relay_held_header{"X-Held-Us"};

/** @brief The decider answers a poll after this time, also without calls. */
inline constexpr milliseconds relay_poll_wait{150};

} // namespace cicadalug::internal

#endif
