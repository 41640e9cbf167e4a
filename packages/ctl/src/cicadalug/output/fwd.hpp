#ifndef CICADALUG_OUTPUT_FWD_HPP
#define CICADALUG_OUTPUT_FWD_HPP

namespace cicadalug {

struct table;

} // namespace cicadalug

#endif
