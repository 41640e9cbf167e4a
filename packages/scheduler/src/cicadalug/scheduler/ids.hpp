#ifndef CICADALUG_SCHEDULER_IDS_HPP
#define CICADALUG_SCHEDULER_IDS_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/strong_id.hpp>
#include <cicadalug/base/strong_number.hpp>

#include <cstdint>

namespace cicadalug {

using job_id = strong_id<struct job_tag>;
using queue_id = strong_id<struct queue_tag>;

/** @brief One registration of a worker process on a VM. A VM gets a new one when it changes its pool. */
using worker_id = strong_id<struct worker_tag>;

/** @brief Orders of a decider with a lower token than the highest one seen are refused by workers. */
using fencing_token = strong_number<struct fencing_token_tag, std::uint64_t>;

/** @brief Numbers the starts of one task. Rises with each start, also from one decider to the next. */
using run_number = strong_number<struct run_number_tag, std::int64_t>;

/** @brief Capacity in thousandths of a core. */
using millicores = strong_number<struct millicores_tag, std::int64_t>;

/** @brief Capacity of memory in mebibytes. */
using mebibytes = strong_number<struct mebibytes_tag, std::int64_t>;

} // namespace cicadalug

#endif
