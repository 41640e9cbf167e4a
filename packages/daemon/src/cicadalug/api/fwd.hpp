#ifndef CICADALUG_API_FWD_HPP
#define CICADALUG_API_FWD_HPP

namespace cicadalug {

class resource_api;
class status_api;

} // namespace cicadalug

#endif
