#ifndef CICADALUG_BASE_TIME_HPP
#define CICADALUG_BASE_TIME_HPP

#include <chrono>

namespace cicadalug {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/**
 * @brief Clock type of the core library. It has no now(): time points are passed as arguments, so that tests can
 * replay them.
 */
struct monotonic_clock {
    using duration = microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

/** @brief Point in the monotonic time of one process. Not comparable across processes. */
using time_point = monotonic_clock::time_point;

} // namespace cicadalug

#endif
