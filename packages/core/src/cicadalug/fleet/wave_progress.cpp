#include <cicadalug/fleet/json_fields.hpp>
#include <cicadalug/fleet/ownership.hpp>
#include <cicadalug/fleet/vm_record_json.hpp>
#include <cicadalug/fleet/wave_progress.hpp>

#include <cstddef>
#include <utility>

namespace cicadalug {

auto wave_key(const availability_zone_id& zone, const wave_id& wave) -> std::string
{
    return "wave/" + zone.str() + '/' + wave.str();
}

auto wave_operation_id(const wave_progress& progress) -> operation_id
{
    return make_operation_id(operation_kind::wave, progress.m_wave.str() + '#' + std::to_string(progress.m_run));
}

auto wave_progress_to_json(const wave_progress& progress) -> nlohmann::json
{
    auto vms = nlohmann::json::array();
    for (const auto& [vm, outcome] : progress.m_vms) {
        vms.push_back({{"vm", vm.str()}, {"outcome", to_string(outcome)}});
    }
    return {{"epoch", progress.m_epoch.value()},
            {"write_id", progress.m_write_id.str()},
            {"wave", progress.m_wave.str()},
            {"paused", progress.m_paused},
            {"batch_cap", progress.m_batch_cap},
            {"ended", progress.m_ended},
            {"failed", progress.m_failed},
            {"finished", progress.m_finished},
            {"closed", progress.m_closed},
            {"run", progress.m_run},
            {"vms", std::move(vms)}};
}

auto parse_wave_progress(const nlohmann::json& json) -> result<wave_progress>
{
    wave_progress progress;
    findings found;
    internal::json_fields fields{json, {}, found};
    fields.require("epoch", progress.m_epoch);
    fields.require("write_id", progress.m_write_id);
    fields.require("wave", progress.m_wave);
    fields.require("paused", progress.m_paused);
    fields.require("batch_cap", progress.m_batch_cap);
    fields.require("ended", progress.m_ended);
    fields.require("failed", progress.m_failed);
    fields.require("finished", progress.m_finished);
    fields.require("closed", progress.m_closed);
    fields.require("run", progress.m_run);
    std::size_t index = 0;
    for (const auto& item : fields.array("vms")) {
        vm_id vm;
        operation_outcome outcome{};
        internal::json_fields entry{item, fields.place_of("vms", index++), found};
        entry.require("vm", vm);
        entry.require("outcome", outcome);
        progress.m_vms.insert_or_assign(vm, outcome);
    }
    if (!found.empty()) {
        return found;
    }
    return progress;
}

} // namespace cicadalug
