#ifndef CICADALUG_ROUTING_ROUTING_STATE_HPP
#define CICADALUG_ROUTING_ROUTING_STATE_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/model/service.hpp>
#include <cicadalug/routing/admission_queue.hpp>
#include <cicadalug/routing/retry_budget.hpp>
#include <cicadalug/routing/routing_request.hpp>
#include <cicadalug/routing/routing_settings.hpp>
#include <cicadalug/routing/run_time_histogram.hpp>
#include <cicadalug/routing/slot_ledger.hpp>
#include <cicadalug/routing/slot_share.hpp>
#include <cicadalug/routing/upstream_choice.hpp>
#include <cicadalug/routing/upstream_health.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

namespace cicadalug {

/** @brief Indices of pools, services, teams and racks in the tables of one process. */
using pool_index = std::uint32_t;
using service_index = std::uint32_t;
using team_index = std::uint32_t;
using rack_index = std::uint32_t;

/** @brief Upstream as a target of work. Its slots are in the slot ledger under the same index. */
struct routing_upstream {
    pool_index m_pool{0};
    rack_index m_rack{0};
    int m_slot_count{0};
    /** @brief True if it accepts new work according to the fleet view. */
    bool m_serving{false};
    bool m_ejected{false};
    bool m_probe_scheduled{false};
    /** @brief Attempts that may still be running on it. */
    int m_running{0};
    /** @brief Usable slots included in the counts of the pool. */
    int m_counted_slots{0};
    /** @brief Free slots included in the counts of the pool. */
    int m_counted_free{0};
    upstream_health m_health;
};

/** @brief Pool and the requests that wait for its slots. */
struct routing_pool {
    pool_id m_id;
    bool m_spare{false};
    /** @brief Upstreams of the own availability zone, in any phase. */
    std::vector<upstream_index> m_upstreams;
    ranked_upstreams m_ranked;
    admission_queue m_queue;
    team_usage m_teams;
    /** @brief Members in all availability zones. */
    int m_all_members{0};
    /** @brief Sum of the promised capacities of its services, in VMs. */
    int m_promised_vms{0};
    /** @brief Upstreams that accept new work according to the fleet view. */
    int m_serving{0};
    /** @brief Slots of the own share on all upstreams of the zone, whether they accept work or not. */
    int m_share_slots{0};
    /** @brief Slots of the own share that the promised capacity needs; computed for the spare pool only. */
    int m_promised_slots{0};
    /** @brief Usable and free slots of upstreams that accept work and are not ejected. */
    int m_slots{0};
    int m_free{0};
    /** @brief Slots in use by requests of other pools. */
    int m_overflow{0};
    /** @brief Run times of all services on the pool. */
    run_time_histogram m_run_time;
    /** @brief Longest default deadline of its services. The term of a loan is longer, up to the maximum term. */
    milliseconds m_longest_deadline{0};
    /** @brief Earliest time of the next slot request to the peers, and the interval between two such requests. */
    time_point m_next_slot_request;
    milliseconds m_slot_request_interval{0};
};

/** @brief Service with its observed run times and its retry budget. */
struct routing_service {
    service m_service;
    /** @brief False after the service was deleted. */
    bool m_known{false};
    pool_index m_pool{0};
    run_time_histogram m_run_time;
    retry_budget m_budget;
    int m_waiting{0};
};

/** @brief Request without a final outcome. */
struct live_request {
    routing_request m_request;
    service_index m_service{0};
    team_index m_team{0};
    /** @brief Pool in whose queue the request waits. */
    pool_index m_pool{0};
    time_point m_submitted;
    bool m_waiting{false};
    /** @brief True if an upstream may have started the request. */
    bool m_possibly_run{false};
    int m_attempts{0};
    std::vector<upstream_index> m_tried;
};

/** @brief Attempt or probe that is running, or attempt that ended and still holds its slot. */
struct live_attempt {
    /** @brief Number of the request; 0 for a probe. */
    request_number m_number{0};
    slot_key m_slot;
    service_index m_service{0};
    team_index m_team{0};
    /** @brief Pool of the request. */
    pool_index m_pool{0};
    /** @brief Pool whose slot is used; the spare pool if the request overflowed. */
    pool_index m_slot_pool{0};
    time_point m_started;
    /** @brief Time at which the slot is free at the latest even if no complete response was read. */
    time_point m_hold_until;
    /** @brief True after complete() was called. */
    bool m_ended{false};
    /** @brief True while the upstream may be running the job. */
    bool m_running{true};
    /** @brief True if the overdue attempt was counted as a failure of the upstream. */
    bool m_overdue{false};
};

/** @brief Kind of a timer. */
enum class timer_kind : std::uint8_t { request_deadline, attempt_overdue, slot_release, probe };

/** @brief Entry of the timer queue; ignored if its subject no longer exists. */
struct routing_timer {
    time_point m_time;
    timer_kind m_kind{timer_kind::request_deadline};
    /** @brief Number of the request, the attempt or the upstream. */
    std::uint64_t m_subject{0};

    [[nodiscard]] friend auto operator<=>(const routing_timer&, const routing_timer&) noexcept
        -> std::strong_ordering = default;
};

/** @brief Table indices by id. */
template<typename Id>
using id_numbers = std::unordered_map<Id, std::uint32_t>;

/**
 * @brief Complete state of the routing decisions of one entry VM. Constructed from settings (`routing_state{settings}`)
 * and changed only by the functions of router.hpp.
 * @note Thread safety: events of one state must not overlap; distinct states can be used concurrently.
 */
struct routing_state {
    routing_settings m_settings;
    slot_ledger m_ledger{};
    share_members m_members{};
    std::unordered_map<entry_vm_id, incarnation> m_peers{};

    std::vector<routing_upstream> m_upstreams{};
    std::vector<ranked_place> m_places{};
    std::vector<routing_pool> m_pools{};
    std::vector<routing_service> m_services{};
    std::vector<std::vector<upstream_index>> m_racks{};
    std::vector<double> m_team_shares{};
    id_numbers<pool_id> m_pool_numbers{};
    id_numbers<service_id> m_service_numbers{};
    id_numbers<team_id> m_team_numbers{};
    id_numbers<rack_id> m_rack_numbers{};
    std::optional<pool_index> m_spare_pool{};

    std::unordered_map<request_number, live_request> m_requests{};
    std::unordered_map<request_id, request_number> m_request_numbers{};
    std::unordered_map<std::uint64_t, live_attempt> m_attempts{};
    std::set<pool_index> m_waiting_pools{};
    /** @brief Pools with a slot that became free during the current event. */
    std::set<pool_index> m_freed_pools{};
    std::priority_queue<routing_timer, std::vector<routing_timer>, std::greater<>> m_timers{};
    /** @brief Earliest time of the next slot request to the peers, for any pool. */
    time_point m_next_slot_request{};
    request_number m_last_request{0};
    std::uint64_t m_last_attempt{0};
    bool m_shutting_down{false};
};

} // namespace cicadalug

#endif
