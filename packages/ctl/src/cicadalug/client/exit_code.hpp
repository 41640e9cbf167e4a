#ifndef CICADALUG_CLIENT_EXIT_CODE_HPP
#define CICADALUG_CLIENT_EXIT_CODE_HPP

#include <cstdint>

namespace cicadalug {

/** @brief Exit codes of cicadalugctl. Scripts rely on the numbers. */
enum class exit_code : std::uint8_t {
    done = 0,
    /** @brief No entry VM answered, or the platform is down. Nothing was changed. */
    unavailable = 1,
    /** @brief The input has faults; each is listed with its place. Nothing was changed. */
    invalid = 2,
    /** @brief Another write came first. Nothing was changed. */
    lost_race = 3,
    /** @brief There is no such resource. */
    not_found = 4,
    /** @brief The answer to a write was lost: the change may have been made. */
    unknown = 5,
};

} // namespace cicadalug

#endif
