#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/async/spawn.hpp>
#include <cicadalug/entry/job_intake.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/progress.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Maximum number of jobs in one write: each takes two conditions and a put of the allowed entries. */
constexpr std::size_t batch_jobs{store_write_entries / 3};

/** @brief Maximum number of concurrent writes; more than one, so that a slow response does not delay all jobs. */
constexpr int writer_limit{3};

/** @brief Timeout of one write; a store that is 60 times slower than usual still responds within it. */
constexpr milliseconds write_timeout{700};

/** @brief Delay after a write that was not done or got no response. */
constexpr milliseconds failure_pause{60};

} // namespace

struct job_intake::submission {
    submission(const asio::any_io_executor& executor, job_record record, const time_point deadline)
        : m_record{std::move(record)}, m_deadline{deadline}, m_settled{executor}
    {
    }

    job_record m_record;
    time_point m_deadline;
    /** @brief Writes that were sent and whose outcome is unknown: the job may be stored. */
    std::int64_t m_open_writes{0};
    /** @brief A write with other jobs was refused. */
    bool m_alone{false};
    std::optional<intake_result> m_result;
    asio::steady_timer m_settled;
};

job_intake::job_intake(asio::any_io_executor executor, store_client& store)
    : m_executor{std::move(executor)}, m_store{store}
{
}

auto job_intake::submit(job_record record, const time_point deadline) -> asio::awaitable<intake_result>
{
    auto& known = m_by_id[record.m_id];
    if (known == nullptr) {
        known = std::make_shared<submission>(m_executor, std::move(record), deadline);
        known->m_settled.expires_at(asio::steady_timer::time_point::max());
        m_waiting.push_back(known);
        if (m_writers < writer_limit) {
            ++m_writers;
            spawn(m_executor, write_until_idle(), "job_intake");
        }
    }
    const auto submitted = known;
    if (!submitted->m_result) {
        // The same job may be submitted by two calls at the same time; each has its own timer for its deadline.
        asio::steady_timer limit{m_executor, std::max(microseconds{0}, deadline - monotonic_now())};
        limit.async_wait([submitted](const boost::system::error_code& error) {
            if (!error) {
                submitted->m_settled.cancel();
            }
        });
        boost::system::error_code ignored;
        co_await submitted->m_settled.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (submitted->m_result) {
        co_return *submitted->m_result;
    }
    const auto result = submitted->m_open_writes > 0 ? intake_result::unknown : intake_result::not_stored;
    settle(*submitted, result);
    co_return result;
}

auto job_intake::settle(submission& settled, const intake_result result) -> void
{
    if (!settled.m_result) {
        settled.m_result = result;
        settled.m_settled.cancel();
        const auto known = m_by_id.find(settled.m_record.m_id);
        if (known != m_by_id.end() && known->second.get() == &settled) {
            m_by_id.erase(known);
        }
    }
}

auto job_intake::take_batch() -> std::vector<std::shared_ptr<submission>>
{
    std::vector<std::shared_ptr<submission>> batch;
    while (!m_waiting.empty() && batch.size() < batch_jobs) {
        if (!m_waiting.front()->m_result) {
            if (m_waiting.front()->m_alone && !batch.empty()) {
                break;
            }
            batch.push_back(std::move(m_waiting.front()));
        }
        m_waiting.pop_front();
        if (!batch.empty() && batch.back()->m_alone) {
            break;
        }
    }
    return batch;
}

auto job_intake::write_batch(std::vector<std::shared_ptr<submission>> batch) -> asio::awaitable<void>
{
    store_write write;
    for (const auto& job : batch) {
        const auto key = job_key(job->m_record.m_id);
        write.m_conditions.push_back({key, store_revision{0}});
        // The cancellation of a job that was not stored yet; without this, a write that is executed late would store
        // it.
        write.m_conditions.push_back({cancel_key(job->m_record.m_id), store_revision{0}});
        write.m_puts.push_back({key, encode(job->m_record), no_store_lease});
        ++job->m_open_writes;
    }
    const auto written = co_await m_store.write(std::move(write), write_timeout);
    for (std::size_t position = 0; position < batch.size(); ++position) {
        auto& job = *batch[position];
        if (written.m_status != store_status::unknown) {
            --job.m_open_writes;
        }
        if (written.m_status == store_status::ok || has_item(written.m_current, job_key(job.m_record.m_id))) {
            settle(job, intake_result::stored);
        }
        else if (has_item(written.m_current, cancel_key(job.m_record.m_id))) {
            settle(job, intake_result::cancelled);
        }
        else if (written.m_status == store_status::rejected && batch.size() == 1 && job.m_open_writes == 0) {
            settle(job, intake_result::refused);
        }
        else if (!job.m_result) {
            // The store refuses one of the jobs; each is written alone to find it.
            job.m_alone = job.m_alone || written.m_status == store_status::rejected;
            m_waiting.push_back(batch[position]);
        }
    }
    if (written.m_status == store_status::rejected) {
        LOG(WARNING)
            << log_line{"job_write_refused"}.with("jobs", batch.size()).with("request", batch.front()->m_record.m_id);
    }
    else if (written.m_status != store_status::ok && written.m_status != store_status::conflict) {
        LOG_EVERY_N(WARNING, 20) << log_line{"job_write_failed"}
                                        .with("jobs", batch.size())
                                        .with("outcome",
                                              written.m_status == store_status::unknown ? "unknown" : "not done");
        co_await sleep_for(m_executor, failure_pause);
    }
}

auto job_intake::write_until_idle() -> asio::awaitable<void>
{
    for (auto batch = take_batch(); !batch.empty(); batch = take_batch()) {
        co_await write_batch(std::move(batch));
    }
    --m_writers;
}

} // namespace cicadalug
