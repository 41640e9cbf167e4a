#ifndef CICADALUG_MEMBERSHIP_FWD_HPP
#define CICADALUG_MEMBERSHIP_FWD_HPP

namespace cicadalug {

struct entry_vm_info;
struct entry_vm_entry;
struct pool_load_report;
struct heartbeat;
struct membership_change;
struct membership_state;
struct control_settings;
struct control_state;
struct control_effect;

} // namespace cicadalug

#endif
