#ifndef CICADALUG_ORDER_FWD_HPP
#define CICADALUG_ORDER_FWD_HPP

namespace cicadalug {

struct ticket;
struct kept_answer;
struct journal_limits;
struct journal_state;
struct presentation;
struct claim;
struct key_digest;

} // namespace cicadalug

#endif
