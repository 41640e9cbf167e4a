#include <cicadalug/fleet/thermal.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Margin below the limit, in percent, within which no capacity is returned. */
constexpr std::int64_t recovery_margin_percent = 5;
/** @brief Time for which the margin has to hold; the air and the machines of a room follow the load within minutes. */
constexpr seconds recovery_delay{300};

/** @brief One degradation step of one service. */
struct step_ref {
    const room_service* m_service{nullptr};
    std::size_t m_index{0};

    [[nodiscard]] auto step() const -> const degradation_step& { return m_service->m_degradation_steps[m_index]; }
};

[[nodiscard]] auto removes_vms(const degradation_step& step) noexcept -> bool
{
    return step.m_action != degradation_action::throttle;
}

/** @brief Counts the VMs to which a step can still be applied. */
[[nodiscard]] auto free_vms(const step_ref& ref, const std::vector<int>& levels) -> int
{
    int used = 0;
    int removed = 0;
    for (std::size_t index = 0; index < levels.size(); ++index) {
        used += levels[index];
        removed += removes_vms(ref.m_service->m_degradation_steps[index]) ? levels[index] : 0;
    }
    auto free = std::min(ref.step().m_vms - levels[ref.m_index], ref.m_service->m_vms - used);
    if (removes_vms(ref.step())) {
        free = std::min(free, std::max(0, ref.m_service->m_spare_vms) - removed);
    }
    return std::max(0, free);
}

/** @brief Returns the first step of a service that can still be taken. */
[[nodiscard]] auto next_step(const room_service& service, const std::vector<int>& levels) -> std::optional<step_ref>
{
    for (std::size_t index = 0; index < levels.size(); ++index) {
        const step_ref ref{&service, index};
        if (free_vms(ref, levels) > 0) {
            return ref;
        }
    }
    return std::nullopt;
}

[[nodiscard]] auto is_less_severe(const step_ref& left, const step_ref& right) -> bool
{
    const auto rank = [](const step_ref& ref) {
        return std::tuple{ref.step().m_action, -ref.step().m_saved_per_vm.value()};
    };
    return rank(left) < rank(right);
}

[[nodiscard]] auto least_severe_step(const room_load& load, degradation_levels& levels) -> std::optional<step_ref>
{
    std::optional<step_ref> best;
    for (const auto& service : load.m_services) {
        const auto next = next_step(service, levels[service.m_id]);
        if (next && (!best || is_less_severe(*next, *best))) {
            best = next;
        }
    }
    return best;
}

[[nodiscard]] auto saved_power(const room_load& load, const degradation_levels& levels) -> watts
{
    watts saved;
    for (const auto& service : load.m_services) {
        const auto found = levels.find(service.m_id);
        for (std::size_t index = 0; found != levels.end() && index < service.m_degradation_steps.size(); ++index) {
            saved = saved + watts{service.m_degradation_steps[index].m_saved_per_vm.value() * found->second[index]};
        }
    }
    return saved;
}

[[nodiscard]] auto is_feasible(const room_load& load, const degradation_levels& levels) -> bool
{
    return std::all_of(load.m_services.begin(), load.m_services.end(), [&levels](const auto& service) {
        const auto found = levels.find(service.m_id);
        if (found == levels.end() || found->second.size() != service.m_degradation_steps.size()) {
            return service.m_degradation_steps.empty();
        }
        int used = 0;
        int removed = 0;
        for (std::size_t index = 0; index < service.m_degradation_steps.size(); ++index) {
            if (found->second[index] > service.m_degradation_steps[index].m_vms) {
                return false;
            }
            used += found->second[index];
            removed += removes_vms(service.m_degradation_steps[index]) ? found->second[index] : 0;
        }
        return used <= service.m_vms && removed <= std::max(0, service.m_spare_vms);
    });
}

/**
 * @brief Reverts steps that the limit does not require: the most severe action first, the last step of each service
 * first.
 */
auto remove_unneeded_steps(const room_load& load, degradation_levels& levels, watts surplus) -> void
{
    std::vector<step_ref> taken;
    for (const auto& service : load.m_services) {
        for (std::size_t index = service.m_degradation_steps.size(); index > 0; --index) {
            taken.push_back({&service, index - 1});
        }
    }
    std::stable_sort(taken.begin(), taken.end(),
                     [](const auto& left, const auto& right) { return left.step().m_action > right.step().m_action; });
    for (const auto& ref : taken) {
        auto& service_levels = levels[ref.m_service->m_id];
        const auto is_last = std::all_of(service_levels.begin() + static_cast<std::ptrdiff_t>(ref.m_index) + 1,
                                         service_levels.end(), [](const int vms) { return vms == 0; });
        while (is_last && service_levels[ref.m_index] > 0 && ref.step().m_saved_per_vm <= surplus) {
            --service_levels[ref.m_index];
            surplus = surplus - ref.step().m_saved_per_vm;
        }
    }
}

} // namespace

auto plan_degradation(const room_load& load, const watts limit) -> thermal_plan
{
    thermal_plan plan;
    for (const auto& service : load.m_services) {
        plan.m_levels[service.m_id].assign(service.m_degradation_steps.size(), 0);
    }
    const auto needed = std::max(watts{}, load.m_undegraded_draw - limit);
    while (plan.m_saved < needed) {
        const auto step = least_severe_step(load, plan.m_levels);
        if (!step) {
            break;
        }
        ++plan.m_levels[step->m_service->m_id][step->m_index];
        plan.m_saved = plan.m_saved + step->step().m_saved_per_vm;
    }
    if (plan.m_saved > needed) {
        remove_unneeded_steps(load, plan.m_levels, plan.m_saved - needed);
    }
    plan.m_saved = saved_power(load, plan.m_levels);
    plan.m_shortfall = std::max(watts{}, needed - plan.m_saved);
    return plan;
}

auto update_thermal_state(thermal_state& state, const room_load& load, const time_point now) -> void
{
    auto required_plan = plan_degradation(load, load.m_limit);
    const auto saved = is_feasible(load, state.m_plan.m_levels) ? saved_power(load, state.m_plan.m_levels) : watts{-1};
    const auto needed = load.m_undegraded_draw - load.m_limit;
    if (saved < watts{} || saved < std::min(needed, required_plan.m_saved)) {
        state = {std::move(required_plan), std::nullopt};
        return;
    }
    state.m_plan.m_saved = saved;
    state.m_plan.m_shortfall = std::max(watts{}, needed - saved);
    const watts relaxed_limit{load.m_limit.value() * (100 - recovery_margin_percent) / 100};
    auto relaxed = plan_degradation(load, relaxed_limit);
    if (relaxed.m_saved >= saved) {
        state.m_margin_since.reset();
        return;
    }
    if (!state.m_margin_since) {
        state.m_margin_since = now;
    }
    if (now - *state.m_margin_since >= recovery_delay) {
        relaxed.m_shortfall = std::max(watts{}, needed - relaxed.m_saved);
        state = {std::move(relaxed), std::nullopt};
    }
}

} // namespace cicadalug
