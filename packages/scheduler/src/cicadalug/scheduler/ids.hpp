#ifndef CICADALUG_SCHEDULER_IDS_HPP
#define CICADALUG_SCHEDULER_IDS_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/short_id.hpp>
#include <cicadalug/base/strong_id.hpp>
#include <cicadalug/base/strong_number.hpp>

#include <cstdint>

namespace cicadalug {

/** @brief Identifies a job. Each run, report and command holds one. */
using job_id = short_id<struct job_tag>;
using queue_id = strong_id<struct queue_tag>;

/** @brief Identifies one registration of a worker process on a VM. A VM that changes its pool gets a new one. */
using worker_id = strong_id<struct worker_tag>;

/** @brief Workers reject commands of a decider whose token is lower than the highest one they have seen. */
using fencing_token = strong_number<struct fencing_token_tag, std::uint64_t>;

/** @brief Number of a start of a task. Increases with each start, also from one decider to the next. */
using run_number = strong_number<struct run_number_tag, std::int64_t>;

/** @brief CPU capacity in thousandths of a core. */
using millicores = strong_number<struct millicores_tag, std::int64_t>;

/** @brief Memory capacity in mebibytes. */
using mebibytes = strong_number<struct mebibytes_tag, std::int64_t>;

} // namespace cicadalug

#endif
