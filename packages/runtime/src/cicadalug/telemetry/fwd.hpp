#ifndef CICADALUG_TELEMETRY_FWD_HPP
#define CICADALUG_TELEMETRY_FWD_HPP

#include <cstdint>

namespace cicadalug {

struct trace_context;
struct span;
struct otlp_settings;
class otlp_exporter;
class log_line;
class metrics;
class scheduler_metrics;
enum class roll_out_kind : std::uint8_t;

} // namespace cicadalug

#endif
