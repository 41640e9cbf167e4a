#ifndef CICADALUG_CLIENT_EXIT_CODE_HPP
#define CICADALUG_CLIENT_EXIT_CODE_HPP

#include <cstdint>

namespace cicadalug {

/** @brief Exit codes of cicadalugctl. Scripts rely on the numbers. */
enum class exit_code : std::uint8_t {
    done = 0,
    /** @brief No entry VM responded, or the platform is down. Nothing was changed. */
    unavailable = 1,
    /** @brief The input has errors; each is listed with its location. Nothing was changed. */
    invalid = 2,
    /** @brief Another write came first ("lost race" in the output). Nothing was changed. */
    version_conflict = 3,
    /** @brief The resource does not exist, or no log line names the request. */
    not_found = 4,
    /** @brief The response to a write was lost: the change may have been made. */
    unknown_outcome = 5,
};

} // namespace cicadalug

#endif
