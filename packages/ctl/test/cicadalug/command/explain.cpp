#include <cicadalug/command/explain.hpp>
#include <cicadalug/command/program.hpp>

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace {

using namespace cicadalug;

/** @brief Log lines of two entry VMs, not sorted by time: those of the decider follow those of the other entry VM. */
constexpr const char* lines[]{
    "I20260815 01:48:06.046370  5770 client_api.cpp:152] event=job_accepted request=aa took_ms=10",
    "I20260815 01:48:06.100000  5770 client_api.cpp:152] event=job_accepted request=bb took_ms=12",
    "W20260815 01:48:06.900000  5770 client_api.cpp:160] event=job_not_accepted request=cc outcome=unknown",
    "E no structure here",
    "I20260815 01:48:09.000000  1 d.cpp:1] event=job_ended request=aa state=completed took_ms=2954 objective_ms=2000",
    "  -4.9 front-1 I20260815 01:48:06.900000  1 d.cpp:1] event=job_started request=aa waited_ms=850 worker=w1",
    "I20260815 01:48:07.000000  5767 decider.cpp:1] event=run_failed request=aa worker=w1 run=1",
    "I20260815 01:48:07.100000  5767 decider.cpp:1] event=worker_paused request=\"\" worker=w1",
    "I20260815 01:48:07.200000  5767 decider.cpp:1] event=worker_paused request=\"\" worker=w2",
    "I20260815 01:48:30.000000  5767 decider.cpp:1] event=takeover token=7 jobs=3",
};

[[nodiscard]] auto all_records() -> std::vector<log_record>
{
    std::vector<log_record> records;
    for (const auto* line : lines) {
        if (auto record = parse_log_record(line)) {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

} // namespace

// Guards against a history that mixes requests, omits why a worker was avoided, or is not sorted by time.
TEST(explain, history_is_sorted_and_includes_context_events)
{
    const auto history = collect_history(all_records(), "aa");
    ASSERT_EQ(history.size(), 5U);
    EXPECT_EQ(history[0].field("event"), "job_accepted");
    EXPECT_EQ(history[1].field("event"), "job_started");
    EXPECT_EQ(history[2].field("event"), "run_failed");
    EXPECT_EQ(history[3].field("worker"), "w1");
    EXPECT_EQ(history[4].field("event"), "job_ended");
}

// Guards against a cause of an overdue job that states by how much it is overdue but not where the time was spent.
TEST(explain, cause_of_overdue_job_includes_wait_and_failures)
{
    const auto cause = describe_outcome(collect_history(all_records(), "aa"));
    EXPECT_EQ(cause.find("completed 954 ms after its objective"), 0U) << cause;
    EXPECT_NE(cause.find("waited 850 ms, 1 runs failed"), std::string::npos) << cause;
}

// Guards against an explanation that would make a client lose a job, or wait for one that never runs.
TEST(explain, job_without_store_response_can_be_retried)
{
    EXPECT_NE(describe_outcome(collect_history(all_records(), "cc")).find("same id"), std::string::npos);
    EXPECT_NE(describe_outcome(collect_history(all_records(), "bb")).find("not in these logs"), std::string::npos);
}

// Guards against text in a quoted value that is parsed as a field.
TEST(explain, quoted_values_are_parsed)
{
    const auto record = parse_log_record(
        "I20260815 01:48:06.046370  1 a.cpp:1] event=queue_unknown path=\"a b request=zz\" version=\"not stored\"");
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(record->field("version"), "not stored");
    EXPECT_EQ(record->field("request"), "") << "text inside a quoted value is not a field";
}

// Guards against an explain command that needs an entry VM to read files, or that ignores a missing file.
TEST(explain, command_reads_files_and_reports_missing_ones)
{
    const auto path = "/tmp/cicadalug-explain-" + std::to_string(getpid()) + ".log";
    {
        std::ofstream file{path};
        for (const auto* line : lines) {
            file << line << '\n';
        }
    }
    std::ostringstream out;
    std::ostringstream error;
    EXPECT_EQ(run_program({"explain", "aa", path}, out, error), 0) << error.str();
    EXPECT_NE(out.str().find("cause: completed"), std::string::npos);
    EXPECT_EQ(run_program({"explain", "dd", path}, out, error), static_cast<int>(exit_code::not_found));
    EXPECT_EQ(run_program({"explain", "aa", path + ".none"}, out, error), static_cast<int>(exit_code::invalid));
    std::remove(path.c_str());
}
