#ifndef CICADALUG_MODEL_FWD_HPP
#define CICADALUG_MODEL_FWD_HPP

namespace cicadalug {

struct pool;
struct bend_step;
struct service;
struct team;
struct room;
struct wave;
struct vm_assignment;
struct planning_policy;
struct fleet_view;

} // namespace cicadalug

#endif
