#ifndef CICADALUG_SCHEDULER_LEASE_BOUNDS_HPP
#define CICADALUG_SCHEDULER_LEASE_BOUNDS_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/ids.hpp>
#include <cicadalug/scheduler/store_revisions.hpp>
#include <cicadalug/scheduler/store_types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief Until when a worker may run what it holds, as a decider stores it for its successors: in times after its own
 * election, which the successors do not begin anew. */
struct stored_lease {
    /** @brief End of all leases of earlier deciders; nothing if the decider renews the worker's lease. */
    std::optional<milliseconds> m_end;
    /** @brief End of a stale lease, or of a run that the next incarnation may begin by a start without a response. */
    std::optional<milliseconds> m_stale_end;
    /** @brief End of all that late calls can bring an incarnation which no decider has called; nothing if the decider
     * calls the worker. */
    std::optional<milliseconds> m_late_end;
    /** @brief No call to an earlier incarnation is carried out by the listed one any more, and m_stale_end bounds what
     * such calls have brought it. */
    bool m_settled{true};
    /** @brief Start of the incarnation that was called last, in Unix milliseconds; 0 if not known. */
    std::int64_t m_incarnation_start_unix_ms{0};
};

/** @brief Until when a worker that has not reported may run what earlier deciders let it run, in local time; see
 * stored_lease. */
struct expected_lease {
    std::optional<time_point> m_end;
    std::optional<time_point> m_stale_end;
    std::optional<time_point> m_late_end;
    bool m_settled{false};
};

/** @brief What a decider knows about the ends of leases. */
struct lease_bounds {
    /** @brief Token of its term, which is the revision of the store at its election. */
    fencing_token m_token;
    /** @brief The bounds were written at least this long after the election. */
    milliseconds m_written{0};
    /** @brief See scheduler_state. */
    fencing_token m_places_since;
    /** @brief Workers with a lease are left out if the decider renews it and knows of no other one. */
    std::map<worker_id, stored_lease> m_leases;
};

/** @brief Encodes bounds for the store, in 30 to 60 bytes for each worker. */
[[nodiscard]] auto encode(const lease_bounds& bounds) -> std::string;

/** @brief Decodes bounds from the store. @return The bounds, or nothing if they cannot be read. */
[[nodiscard]] auto decode_lease_bounds(std::string_view text) -> std::optional<lease_bounds>;

/** @brief A write of a term, which dates its election. */
struct dated_write {
    store_revision m_revision;
    /** @brief The write was made at least this long after the election. */
    milliseconds m_age{0};
};

/**
 * @brief Returns the latest local time at which the decider that wrote bounds may have been elected. The store's
 * revisions serve as a clock: no clock of another VM is used.
 * @param bounds The bounds.
 * @param writes Writes of its term, the bounds included.
 * @param revisions Revisions that this process has seen in responses of the store.
 * @param now A time after the write of the bounds.
 */
[[nodiscard]] auto latest_election(const lease_bounds& bounds, const std::vector<dated_write>& writes,
                                   const store_revisions& revisions, time_point now) -> time_point;

} // namespace cicadalug

#endif
