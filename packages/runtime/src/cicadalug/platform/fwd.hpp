#ifndef CICADALUG_PLATFORM_FWD_HPP
#define CICADALUG_PLATFORM_FWD_HPP

namespace cicadalug {

struct platform_error;
struct kv_entry;
struct kv_range;
struct kv_write;
struct kv_watch_event;
struct platform_vm;
class platform_watch;
class platform_client;
class http_platform_client;
class memory_platform;
class write_id_source;

} // namespace cicadalug

#endif
