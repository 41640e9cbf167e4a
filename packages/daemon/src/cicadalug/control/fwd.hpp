#ifndef CICADALUG_CONTROL_FWD_HPP
#define CICADALUG_CONTROL_FWD_HPP

namespace cicadalug {

class control_loop;

} // namespace cicadalug

#endif
