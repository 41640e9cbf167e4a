#include <cicadalug/telemetry/log_line.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace {

using namespace cicadalug;

// Guards against an unintended change of the format of log lines.
TEST(log_line, has_a_fixed_format)
{
    EXPECT_EQ((log_line{"drained"}.with("vm", "a1").with("version", 7).with("request", "")).str(),
              "event=drained vm=a1 version=7 request=\"\"");
}

// Guards against a value from a caller that injects a field or a line into the log.
RC_GTEST_PROP(log_line, value_cannot_leave_its_field, (std::string value))
{
    const auto text = escape_log_value(value);
    RC_ASSERT(std::all_of(text.begin(), text.end(), [](const char c) { return c >= ' ' && c <= '~'; }));
    if (text.front() != '"') {
        RC_ASSERT(text.find_first_of(" =\"") == std::string::npos);
    }
    else {
        for (std::size_t i = 1; i + 1 < text.size(); ++i) {
            RC_ASSERT(text[i] != '"');
            i += text[i] == '\\' ? 1 : 0;
        }
    }
}

} // namespace
