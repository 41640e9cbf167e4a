#ifndef CICADALUG_REPLICATION_FWD_HPP
#define CICADALUG_REPLICATION_FWD_HPP

namespace cicadalug {

struct versioned_value;
struct versioned_entry;
struct versioned_map;
struct map_digest;

} // namespace cicadalug

#endif
