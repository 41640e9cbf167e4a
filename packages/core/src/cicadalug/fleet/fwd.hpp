#ifndef CICADALUG_FLEET_FWD_HPP
#define CICADALUG_FLEET_FWD_HPP

namespace cicadalug {

struct vm_record;

} // namespace cicadalug

#endif
