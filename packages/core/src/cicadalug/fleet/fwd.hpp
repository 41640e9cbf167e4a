#ifndef CICADALUG_FLEET_FWD_HPP
#define CICADALUG_FLEET_FWD_HPP

namespace cicadalug {

struct vm_record;
struct vm_shard;
struct budget_charge;
struct budget_ledger;
struct zone_report;
struct drain_confirmation;
struct wave_progress;
struct zone_control_state;
struct zone_control_inputs;

} // namespace cicadalug

#endif
