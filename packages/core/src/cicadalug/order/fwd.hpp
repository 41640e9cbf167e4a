#ifndef CICADALUG_ORDER_FWD_HPP
#define CICADALUG_ORDER_FWD_HPP

namespace cicadalug {

struct ticket;
struct stored_response;
struct journal_limits;
struct journal_state;
struct order_decision;
struct claim;
struct key_digest;

} // namespace cicadalug

#endif
