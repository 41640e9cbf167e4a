#ifndef CICADALUG_REPORT_FWD_HPP
#define CICADALUG_REPORT_FWD_HPP

namespace cicadalug {

class fleet_metrics;

} // namespace cicadalug

#endif
