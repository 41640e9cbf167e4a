#ifndef CICADALUG_REQUEST_FWD_HPP
#define CICADALUG_REQUEST_FWD_HPP

namespace cicadalug {

struct caller_request;
struct claim_grant;
class claim_store;
class order_path;
class pause_detector;
struct peer_entry_vm;
struct request_outcome;
class request_path;
struct request_telemetry;
struct request_path_limits;
class request_table;
class upstream_pool;
struct upstream_pool_limits;

} // namespace cicadalug

#endif
