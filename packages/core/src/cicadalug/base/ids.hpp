#ifndef CICADALUG_BASE_IDS_HPP
#define CICADALUG_BASE_IDS_HPP

#include <cicadalug/base/strong_id.hpp>
#include <cicadalug/base/strong_number.hpp>

#include <cstdint>

namespace cicadalug {

using vm_id = strong_id<struct vm_tag>;
using entry_vm_id = strong_id<struct entry_vm_tag>;
using availability_zone_id = strong_id<struct availability_zone_tag>;
using region_id = strong_id<struct region_tag>;
using rack_id = strong_id<struct rack_tag>;
using room_id = strong_id<struct room_tag>;
using pool_id = strong_id<struct pool_tag>;
using service_id = strong_id<struct service_tag>;
using team_id = strong_id<struct team_tag>;
using wave_id = strong_id<struct wave_tag>;

/** @brief Identifies one request of a caller; unique across all entry VMs. */
using request_id = strong_id<struct request_tag>;

/** @brief Identifies one planned disruption of VMs: a move, a wave or a drain. */
using operation_id = strong_id<struct operation_tag>;

/** @brief Identifies one write to the key-value service; unique across all writers. */
using write_id = strong_id<struct write_tag>;

/** @brief Identifies one lease of the key-value service. */
using lease_id = strong_id<struct lease_tag>;

/** @brief Identifies one start of a process; each later start of the same entry VM has a higher number. */
using incarnation = strong_number<struct incarnation_tag, std::uint64_t>;

/** @brief Store-wide revision that the key-value service assigned to a write; zero means never written. */
using version = strong_number<struct version_tag, std::uint64_t>;

/** @brief Number assigned to the holder of a control lease; each later holder has a higher number. */
using epoch = strong_number<struct epoch_tag, std::uint64_t>;

/** @brief Power in watts. */
using watts = strong_number<struct watts_tag, std::int64_t>;

} // namespace cicadalug

#endif
