#ifndef CICADALUG_MODEL_FWD_HPP
#define CICADALUG_MODEL_FWD_HPP

#include <cstdint>

namespace cicadalug {

struct pool;
struct degradation_step;
struct service;
struct team;
struct room;
struct wave;
struct vm_assignment;
struct planning_policy;
struct fleet_view;
enum class resource_kind : std::uint8_t;
struct resource;

} // namespace cicadalug

#endif
