#ifndef CICADALUG_ROUTING_FWD_HPP
#define CICADALUG_ROUTING_FWD_HPP

namespace cicadalug {

struct routing_settings;
struct routing_request;
struct routing_peer;
struct routing_state;
struct routing_effects;
struct start_attempt;
struct final_outcome;
struct start_probe;
struct slot_request;
struct slot_grant;
struct slot_return;
struct outgoing_slot_message;
struct pool_usage;

} // namespace cicadalug

#endif
