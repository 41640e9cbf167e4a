#include <cicadalug/fleet/thermal.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Margin below the limit, in percent, within which no capacity returns. */
constexpr std::int64_t relax_margin_percent = 5;
/** @brief Time for which the margin has to hold; air and machines of a room follow the load within minutes. */
constexpr seconds relax_after{300};

/** @brief One step of one service. */
struct step_ref {
    const room_service* m_service{nullptr};
    std::size_t m_index{0};

    [[nodiscard]] auto step() const -> const degradation_step& { return m_service->m_degradation_steps[m_index]; }
};

[[nodiscard]] auto takes_out(const degradation_step& step) noexcept -> bool
{
    return step.m_action != degradation_action::throttle;
}

/** @brief Counts the VMs that a step may still be applied to. */
[[nodiscard]] auto free_vms(const step_ref& ref, const std::vector<int>& levels) -> int
{
    int used = 0;
    int out = 0;
    for (std::size_t index = 0; index < levels.size(); ++index) {
        used += levels[index];
        out += takes_out(ref.m_service->m_degradation_steps[index]) ? levels[index] : 0;
    }
    auto free = std::min(ref.step().m_vms - levels[ref.m_index], ref.m_service->m_vms - used);
    if (takes_out(ref.step())) {
        free = std::min(free, std::max(0, ref.m_service->m_spare_vms) - out);
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

[[nodiscard]] auto milder(const step_ref& left, const step_ref& right) -> bool
{
    const auto rank = [](const step_ref& ref) {
        return std::tuple{ref.step().m_action, -ref.step().m_saved_per_vm.value()};
    };
    return rank(left) < rank(right);
}

[[nodiscard]] auto mildest_step(const room_load& load, bend_levels& levels) -> std::optional<step_ref>
{
    std::optional<step_ref> best;
    for (const auto& service : load.m_services) {
        const auto next = next_step(service, levels[service.m_id]);
        if (next && (!best || milder(*next, *best))) {
            best = next;
        }
    }
    return best;
}

[[nodiscard]] auto saved_by(const room_load& load, const bend_levels& levels) -> watts
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

[[nodiscard]] auto fits(const room_load& load, const bend_levels& levels) -> bool
{
    return std::all_of(load.m_services.begin(), load.m_services.end(), [&levels](const auto& service) {
        const auto found = levels.find(service.m_id);
        if (found == levels.end() || found->second.size() != service.m_degradation_steps.size()) {
            return service.m_degradation_steps.empty();
        }
        int used = 0;
        int out = 0;
        for (std::size_t index = 0; index < service.m_degradation_steps.size(); ++index) {
            if (found->second[index] > service.m_degradation_steps[index].m_vms) {
                return false;
            }
            used += found->second[index];
            out += takes_out(service.m_degradation_steps[index]) ? found->second[index] : 0;
        }
        return used <= service.m_vms && out <= std::max(0, service.m_spare_vms);
    });
}

/** @brief Takes back steps that the limit does not need, the harshest first, the last step of each service first. */
auto trim(const room_load& load, bend_levels& levels, watts surplus) -> void
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
        auto& held = levels[ref.m_service->m_id];
        const auto is_last = std::all_of(held.begin() + static_cast<std::ptrdiff_t>(ref.m_index) + 1, held.end(),
                                         [](const int vms) { return vms == 0; });
        while (is_last && held[ref.m_index] > 0 && ref.step().m_saved_per_vm <= surplus) {
            --held[ref.m_index];
            surplus = surplus - ref.step().m_saved_per_vm;
        }
    }
}

} // namespace

auto plan_room(const room_load& load, const watts limit) -> thermal_plan
{
    thermal_plan plan;
    for (const auto& service : load.m_services) {
        plan.m_levels[service.m_id].assign(service.m_degradation_steps.size(), 0);
    }
    const auto needed = std::max(watts{}, load.m_unbent_draw - limit);
    while (plan.m_saved < needed) {
        const auto step = mildest_step(load, plan.m_levels);
        if (!step) {
            break;
        }
        ++plan.m_levels[step->m_service->m_id][step->m_index];
        plan.m_saved = plan.m_saved + step->step().m_saved_per_vm;
    }
    if (plan.m_saved > needed) {
        trim(load, plan.m_levels, plan.m_saved - needed);
    }
    plan.m_saved = saved_by(load, plan.m_levels);
    plan.m_missed_by = std::max(watts{}, needed - plan.m_saved);
    return plan;
}

auto step_room(thermal_state& state, const room_load& load, const time_point now) -> void
{
    auto wanted = plan_room(load, load.m_limit);
    const auto held = fits(load, state.m_plan.m_levels) ? saved_by(load, state.m_plan.m_levels) : watts{-1};
    const auto needed = load.m_unbent_draw - load.m_limit;
    if (held < watts{} || held < std::min(needed, wanted.m_saved)) {
        state = {std::move(wanted), std::nullopt};
        return;
    }
    state.m_plan.m_saved = held;
    state.m_plan.m_missed_by = std::max(watts{}, needed - held);
    const watts relaxed_limit{load.m_limit.value() * (100 - relax_margin_percent) / 100};
    auto relaxed = plan_room(load, relaxed_limit);
    if (relaxed.m_saved >= held) {
        state.m_relax_since.reset();
        return;
    }
    if (!state.m_relax_since) {
        state.m_relax_since = now;
    }
    if (now - *state.m_relax_since >= relax_after) {
        relaxed.m_missed_by = std::max(watts{}, needed - relaxed.m_saved);
        state = {std::move(relaxed), std::nullopt};
    }
}

} // namespace cicadalug
