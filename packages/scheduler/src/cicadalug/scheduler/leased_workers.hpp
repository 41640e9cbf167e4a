#ifndef CICADALUG_SCHEDULER_LEASED_WORKERS_HPP
#define CICADALUG_SCHEDULER_LEASED_WORKERS_HPP

#include <cicadalug/scheduler/lease_bounds.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>

#include <map>
#include <optional>
#include <vector>

namespace cicadalug {

/**
 * @brief Checks whether a worker has a lease and is not in the stored list of workers with leases, or a stale one and
 * is not in that of restarted workers. It gets no new work until the lists are written: the next decider would not wait
 * for the end of its lease if it could not reach the worker.
 */
[[nodiscard]] auto has_unlisted_lease(const scheduler_state& state, time_point now) -> bool;

/** @brief Records the entry of an expected worker. If the entry is of an incarnation that no earlier decider has
 * called, that one may carry out their calls to the last one late. */
auto expect_late_calls(scheduler_state& state, const worker_entry& entry) -> void;

/** @brief Counts the workers that may hold runs of earlier terms and have not reported: those in the stored list of
 * leases, as nothing starts on others. Those whose entry names another service are left out. */
[[nodiscard]] auto count_expected_workers(const scheduler_state& state, const service_id& service) -> std::int64_t;

/** @brief Checks whether a worker may hold runs of earlier terms and has not reported. */
[[nodiscard]] auto is_awaited(const scheduler_state& state, const worker_id& id, time_point now) -> bool;

/**
 * @brief Checks whether tasks that were accepted before this decider took over may start on a service's workers: all
 * workers that may hold their runs have reported, or their leases from earlier terms have ended.
 */
[[nodiscard]] auto is_recovered(const scheduler_state& state, const service_id& service, time_point now) -> bool;

/** @brief Returns the workers that are expected, and whose leases of earlier terms may still run. */
[[nodiscard]] auto awaited_workers(const scheduler_state& state, time_point now) -> std::vector<worker_id>;

/** @brief Returns the expected worker for which the tasks of a service wait longest, or nothing if there is none whose
 * leases of earlier terms may still run. */
[[nodiscard]] auto last_awaited_worker(const scheduler_state& state, const service_id& service, time_point now)
    -> std::optional<worker_id>;

/** @brief Checks whether the stored list has to name the workers that are expected: their leases of earlier terms may
 * still run, and this term can end before they have reported. */
[[nodiscard]] auto are_expected_workers_listed(const scheduler_state& state, time_point now) -> bool;

/** @brief Checks whether a worker that does not respond, or is not registered, is listed without the end of its lease.
 * The next decider would wait longer for it than this one. */
[[nodiscard]] auto has_unlisted_end(const scheduler_state& state, time_point now) -> bool;

/** @brief Checks whether a stored list names workers whose leases have ended. The next decider would wait for them,
 * which may be gone for good, before it starts a task again that has been started before. */
[[nodiscard]] auto has_ended_lease_in_list(const scheduler_state& state, time_point now) -> bool;

/**
 * @brief Returns the workers with leases, for a write of the list. Workers without one no longer count as listed, as
 * the write may be carried out although it gets no response. The ends of the leases of workers that do not
 * respond are final from then on.
 */
[[nodiscard]] auto begin_lease_list(scheduler_state& state, time_point now) -> std::vector<worker_index>;

/**
 * @brief Marks workers as listed.
 * @param state The scheduler.
 * @param listed Result of begin_lease_list() before the write, which has succeeded.
 */
auto complete_lease_list(scheduler_state& state, const std::vector<worker_index>& listed) -> void;

/**
 * @brief Returns the restarted workers that a write of the list names, each with the time left of its stale lease, or
 * until which its new incarnation may hold a run from a start without a response.
 * @param state The scheduler.
 * @param leased Result of begin_lease_list() for the write.
 * @param now Current time.
 */
[[nodiscard]] auto restarted_workers(const scheduler_state& state, const std::vector<worker_index>& leased,
                                     time_point now) -> std::map<worker_id, milliseconds>;

/**
 * @brief Returns what a write of the list tells about the ends of leases. A successor continues to wait for them, and
 * does not begin anew.
 * @param state The scheduler.
 * @param leased Result of begin_lease_list() for the write.
 * @param now Current time.
 */
[[nodiscard]] auto lease_bounds_of(const scheduler_state& state, const std::vector<worker_index>& leased,
                                   time_point now) -> lease_bounds;

/** @brief Checks whether the listed incarnation of an expected worker has no other stale lease than a stored one. */
[[nodiscard]] auto is_settled(const scheduler_state& state, const worker_id& id) -> bool;

/** @brief Records that a worker makes its first report in this term. If an end of its lease is stored, it has to be
 * listed without one. */
auto expect_listed_end(const scheduler_state& state, worker_slot& worker) -> void;

/** @brief Takes over what the last decider has stored about the ends of leases. @pre The incarnations that it has
 * stored have been taken over. @param elected Latest local time at which that decider may have been elected. */
auto inherit_lease_bounds(scheduler_state& state, const lease_bounds& bounds, time_point elected) -> void;

/**
 * @brief Returns the known incarnations of the workers that a write of the list names, by their start in Unix
 * milliseconds. A successor sees in the registry which of these workers have restarted since.
 * @param state The scheduler.
 * @param leased Result of begin_lease_list() for the write.
 * @param now Current time.
 */
[[nodiscard]] auto incarnations_of_listed_workers(const scheduler_state& state, const std::vector<worker_index>& leased,
                                                  time_point now) -> std::map<worker_id, std::int64_t>;

/**
 * @brief Returns the VMs of the workers that a write of the list names.
 * @param state The scheduler.
 * @param leased Result of begin_lease_list() for the write.
 * @param lists_expected Result of are_expected_workers_listed() for the write.
 */
[[nodiscard]] auto vms_of_listed_workers(const scheduler_state& state, const std::vector<worker_index>& leased,
                                         bool lists_expected) -> std::map<worker_id, vm_id>;

/**
 * @brief Removes expected workers that cannot hold runs any more, as another worker on their VM has reported. A VM runs
 * one worker after the other, and those in the list were there before this term: one that responds in this term came
 * after them.
 */
auto drop_replaced_workers(scheduler_state& state, const worker_slot& reporting) -> void;

} // namespace cicadalug

#endif
