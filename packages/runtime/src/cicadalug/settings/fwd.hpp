#ifndef CICADALUG_SETTINGS_FWD_HPP
#define CICADALUG_SETTINGS_FWD_HPP

namespace cicadalug {

struct peer_settings;
struct settings;
class yaml_section;

} // namespace cicadalug

#endif
