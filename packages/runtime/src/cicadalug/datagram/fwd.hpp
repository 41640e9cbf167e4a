#ifndef CICADALUG_DATAGRAM_FWD_HPP
#define CICADALUG_DATAGRAM_FWD_HPP

namespace cicadalug {

struct record_change;
struct drained_vm;
struct drain_report;
struct datagram;
struct datagram_counts;
class datagram_socket;

} // namespace cicadalug

#endif
