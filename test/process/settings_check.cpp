#include "child_process.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <string>

namespace {

using namespace cicadalug::process_test;

// Guards against an entry VM that starts with invalid settings, and against a --check that starts the entry VM.
TEST(settings_check, exit_code_reports_the_result)
{
    const auto file = ::testing::TempDir() + "cicadalugd-settings-check.yaml";
    std::ofstream{file} << "entry_vm: e1\navailability_zone: north\nplatform: 127.0.0.1:7000\nlisten:\n"
                           "  {callers: 127.0.0.1:1, operators: 127.0.0.1:2, datagrams: 127.0.0.1:3}\n";
    EXPECT_EQ((child_process{CICADALUG_CICADALUGD, {"--settings", file, "--check"}}.wait()), 0);
    std::ofstream{file, std::ios::app} << "worker_thread: 2\n";
    EXPECT_EQ((child_process{CICADALUG_CICADALUGD, {"--settings", file, "--check"}}.wait()), 2);
    EXPECT_EQ((child_process{CICADALUG_CICADALUGD, {"--settings", file}}.wait()), 2);
    EXPECT_EQ((child_process{CICADALUG_CICADALUGD, {"--settings", "no-such-file"}}.wait()), 2);
}

} // namespace
