#ifndef CICADALUG_SCHEDULER_RELAYS_HPP
#define CICADALUG_SCHEDULER_RELAYS_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/candidacy.hpp>
#include <cicadalug/scheduler/ids.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cicadalug {

/** @brief Number of workers that a decider calls itself for each core of its CPU capacity. Calls of more workers take
 * more processor time than their decisions and are left to relays. */
inline constexpr double direct_workers_per_core{512.0};

/** @brief Maximum number of relays in an availability zone. More of them would share the same calls, and each costs the
 * decider a poll for each batch. */
inline constexpr std::size_t relays_per_zone{3};

/** @brief A relay without a poll for this long gets no more calls. */
inline constexpr milliseconds relay_silence_limit{400};

/** @brief An entry VM that carries out calls of the decider, as the decider knows it. */
struct relay_state {
    entry_vm_id m_entry_vm;
    availability_zone_id m_zone;
    /** @brief When its last poll arrived, or was answered. */
    time_point m_last_contact{};
    /** @brief A poll of it waits for calls. */
    bool m_polling{false};
    /** @brief Number of calls without a result. */
    std::size_t m_in_flight{0};
};

/**
 * @brief Checks whether a decider leaves the calls of its workers to relays.
 *
 * Load pattern: 1,100 workers with 2,000 starts a second. The messages of the starts and the polls of the workers take
 * more processor time than one entry VM has; the decisions do not.
 * @param workers Number of registered workers.
 * @param cores CPU capacity of the decider's entry VM, in cores.
 */
[[nodiscard]] inline auto needs_relays(const std::size_t workers, const double cores) -> bool
{
    return static_cast<double>(workers) > direct_workers_per_core * cores;
}

/**
 * @brief Checks whether an entry VM offers itself as a relay: a strong one always, a weak one only to a weak decider,
 * which means that there are no strong ones.
 * @param cores CPU capacity of the entry VM, in cores.
 * @param holder_cores CPU capacity of the decider's entry VM, in cores, if known.
 */
[[nodiscard]] inline auto may_be_relay(const double cores, const std::optional<double>& holder_cores) -> bool
{
    return cores >= sufficient_cores || (holder_cores && *holder_cores < sufficient_cores);
}

/** @brief Checks whether a relay can be expected to receive calls soon. */
[[nodiscard]] inline auto is_live(const relay_state& relay, const time_point now) -> bool
{
    return relay.m_polling || now - relay.m_last_contact <= relay_silence_limit;
}

/**
 * @brief Checks whether a decider accepts the offer of an entry VM.
 * @param relays Relays known so far.
 * @param entry_vm The entry VM.
 * @param zone Its availability zone.
 * @param now Current time.
 * @return True if it is a relay already, or if its zone has room for another one.
 */
[[nodiscard]] inline auto admits_relay(const std::vector<relay_state>& relays, const entry_vm_id& entry_vm,
                                       const availability_zone_id& zone, const time_point now) -> bool
{
    std::size_t others{0};
    for (const auto& relay : relays) {
        if (relay.m_entry_vm == entry_vm) {
            return true;
        }
        others += relay.m_zone == zone && is_live(relay, now) ? 1U : 0U;
    }
    return others < relays_per_zone;
}

/**
 * @brief Selects the relay for a call: the least loaded live one in the worker's zone, else the least loaded live one
 * anywhere.
 *
 * Relays of the worker's own zone keep its calls off the links between zones.
 * @param relays Relays.
 * @param zone Availability zone of the worker.
 * @param now Current time.
 * @return Index of the relay; nothing if none is live.
 */
[[nodiscard]] inline auto choose_relay(const std::vector<relay_state>& relays, const availability_zone_id& zone,
                                       const time_point now) -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < relays.size(); ++index) {
        const auto& relay = relays[index];
        if (!is_live(relay, now)) {
            continue;
        }
        if (!best) {
            best = index;
            continue;
        }
        const bool local = relay.m_zone == zone;
        const bool best_local = relays[*best].m_zone == zone;
        if (local != best_local ? local : relay.m_in_flight < relays[*best].m_in_flight) {
            best = index;
        }
    }
    return best;
}

/**
 * @brief Returns the earliest time at which a decider can have handed over the calls in the answer of a poll.
 *
 * A message can be held up for seconds, by a partition or because either entry VM is suspended. The calls in it were
 * sent no earlier than the poll that fetched them, apart from the time for which the decider held that poll. Clocks of
 * two entry VMs are not compared.
 * @param polled When the relay sent the poll.
 * @param round_trip Time from the poll to its answer, measured by the relay.
 * @param held Time from the arrival of the poll to its answer, measured by the decider.
 * @return The time; the time limits of the calls begin then.
 */
[[nodiscard]] inline auto earliest_handover(const time_point polled, const microseconds round_trip,
                                            const microseconds held) -> time_point
{
    return polled + std::min(held, round_trip);
}

} // namespace cicadalug

#endif
