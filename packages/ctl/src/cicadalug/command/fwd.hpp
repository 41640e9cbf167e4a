#ifndef CICADALUG_COMMAND_FWD_HPP
#define CICADALUG_COMMAND_FWD_HPP

namespace cicadalug {

struct command_context;
struct apply_options;
struct explain_options;
struct log_record;
struct watch_options;
struct wave_options;

} // namespace cicadalug

#endif
