#ifndef CICADALUG_SCHEDULER_CANDIDACY_HPP
#define CICADALUG_SCHEDULER_CANDIDACY_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/ids.hpp>
#include <cicadalug/scheduler/store_types.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace cicadalug {

/** @brief CPU capacity in cores that an entry VM needs to be the decider of several hundred VMs. With it, a takeover of
 * 1,200 jobs and 360 workers takes 0.3 s; with half of it, 2 to 4.5 s. */
inline constexpr double sufficient_cores{0.25};

/** @brief Delay of a candidate that has half of sufficient_cores. */
inline constexpr milliseconds weak_candidate_delay{250};

/** @brief Upper bound of the delay, so that a weak candidate takes over soon if there is no strong one. */
inline constexpr milliseconds max_candidate_delay{500};

/** @brief Lifetime of a request for the term, and so the minimum time between two handovers. */
inline constexpr milliseconds term_request_lifetime{5'000};

/** @brief An entry VM that has handed over its term stands in no election for this time, which is several times as long
 * as the successor needs to write the holder's key. */
inline constexpr milliseconds former_holder_pause{3'000};

/** @brief Request of an entry VM to get the term of the current decider. */
struct term_request {
    entry_vm_id m_entry_vm;
    /** @brief CPU capacity of the requesting entry VM, in cores. */
    double m_cores{0.0};
    /** @brief Revision of the holder's key for which the request was made. */
    store_revision m_holder;
};

/** @brief What an entry VM knows of the election. */
struct election_view {
    entry_vm_id m_self;
    /** @brief CPU capacity of this entry VM, in cores. */
    double m_cores{0.0};
    /** @brief Revision of the holder's key; 0 if there is no holder. */
    store_revision m_holder;
    /** @brief CPU capacity of the holder, in cores, if it has stated it. */
    std::optional<double> m_holder_cores;
    /** @brief Request that is stored at present. */
    std::optional<term_request> m_request;
    /** @brief Whether this entry VM is the decider. */
    bool m_has_term{false};
    /** @brief Whether this entry VM is shutting down. */
    bool m_resigned{false};
    /** @brief Time before which this entry VM stands in no election. */
    time_point m_campaign_from{};
    /** @brief Time before which this entry VM does not request the term. */
    time_point m_request_from{};
};

/** @brief Next step of an entry VM in the election. */
enum class election_step : std::uint8_t {
    /** @brief Wait for a change of the holder or of the request. */
    watch,
    /** @brief Stand in the election. */
    campaign,
    /** @brief Request the term of the current holder. */
    request_term,
    /** @brief End the own term in favour of the entry VM that has requested it. */
    hand_over_term,
};

/**
 * @brief Returns how long a candidate waits in an election so that candidates with more CPU capacity go first.
 * @param cores CPU capacity of its entry VM, in cores.
 * @return The delay; zero for an entry VM with at least sufficient_cores.
 */
[[nodiscard]] inline auto candidate_delay(const double cores) -> milliseconds
{
    const auto lacking = std::max(0.0, sufficient_cores / std::max(cores, 0.01) - 1.0);
    const auto delay = static_cast<std::int64_t>(lacking * static_cast<double>(weak_candidate_delay.count()));
    return std::min(milliseconds{delay}, max_candidate_delay);
}

/**
 * @brief Checks whether a candidate should replace the holder because only the candidate has sufficient_cores.
 * @param candidate CPU capacity of the candidate, in cores.
 * @param holder CPU capacity of the holder, in cores, if known.
 */
[[nodiscard]] inline auto should_replace_holder(const double candidate, const std::optional<double>& holder) -> bool
{
    return candidate >= sufficient_cores && holder && *holder < sufficient_cores;
}

/** @brief Checks whether the stored request is that of this entry VM. */
[[nodiscard]] inline auto has_requested_term(const election_view& view) -> bool
{
    return view.m_request && view.m_request->m_entry_vm == view.m_self;
}

/**
 * @brief Returns how long an entry VM waits before it writes the holder's key.
 * @param view What the entry VM knows.
 * @param spread Offset of this entry VM, so that few candidates collide.
 * @return The delay; zero for the entry VM that has requested the term.
 */
[[nodiscard]] inline auto campaign_delay(const election_view& view, const milliseconds spread) -> milliseconds
{
    return has_requested_term(view) ? milliseconds{0} : candidate_delay(view.m_cores) + spread;
}

/**
 * @brief Returns the next step of an entry VM.
 * @param view What the entry VM knows.
 * @param now The current time.
 */
[[nodiscard]] inline auto next_election_step(const election_view& view, const time_point now) -> election_step
{
    if (view.m_resigned) {
        return election_step::watch;
    }
    if (view.m_has_term) {
        // A request for an earlier term may outlive that term.
        const bool requested = view.m_request && view.m_request->m_holder == view.m_holder &&
                               should_replace_holder(view.m_request->m_cores, view.m_cores);
        return requested ? election_step::hand_over_term : election_step::watch;
    }
    if (view.m_holder == store_revision{0}) {
        return now >= view.m_campaign_from ? election_step::campaign : election_step::watch;
    }
    const bool requests =
        should_replace_holder(view.m_cores, view.m_holder_cores) && !view.m_request && now >= view.m_request_from;
    return requests ? election_step::request_term : election_step::watch;
}

} // namespace cicadalug

#endif
