#ifndef CICADALUG_SCHEDULER_TEST_SOAK_SERIES_HPP
#define CICADALUG_SCHEDULER_TEST_SOAK_SERIES_HPP

#include "soak_simulation.hpp"

namespace cicadalug::test {

/**
 * @brief Plays a series of terms at random times, in which workers leave for good, are removed with their VMs, come
 * back under their ids, are replaced on their VMs, or are cut off.
 * @param simulation The simulation.
 * @param late_calls Calls to some workers get no answer and are carried out late.
 * @return When the last term of the series has begun, and no worker is changed any more.
 */
[[nodiscard]] auto begin_takeover_series(soak_simulation& simulation, bool late_calls) -> time_point;

} // namespace cicadalug::test

#endif
