#include <cicadalug/request/caller_request.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace {

using namespace cicadalug;

[[nodiscard]] auto make_request() -> http_request
{
    return {http::verb::post, "/v1/services/quotes/requests", 11};
}

TEST(caller_request, reads_all_headers)
{
    auto request = make_request();
    request.set("X-Deadline-Ms", "250");
    request.set("X-Priority", "urgent");
    request.set("X-Team", "desk-1");
    request.set("Idempotent", "true");
    request.set("Idempotency-Key", "k1");
    findings found;
    const auto parsed = parse_caller_request(request, found);
    EXPECT_TRUE(found.empty()) << found.to_string();
    EXPECT_EQ(parsed.m_service, service_id{"quotes"});
    EXPECT_EQ(parsed.m_deadline, milliseconds{250});
    EXPECT_TRUE(parsed.m_urgent);
    EXPECT_TRUE(parsed.m_idempotent);
    EXPECT_EQ(parsed.m_team, team_id{"desk-1"});
    EXPECT_EQ(parsed.m_idempotency_key, "k1");
}

// Guards against an invalid header that is silently read as an idempotent request or as a missing deadline.
TEST(caller_request, reports_each_error_with_its_location)
{
    auto request = make_request();
    request.method(http::verb::get);
    request.target("/v1/services/quotes");
    request.set("X-Deadline-Ms", "0");
    request.set("Idempotent", "yes");
    request.insert("Idempotent", "true");
    request.set("X-Team", "");
    request.set("X-Ticket", "t 1");
    findings found;
    const auto parsed = parse_caller_request(request, found);
    std::string places;
    for (const auto& item : found.items()) {
        places += item.m_place + ' ';
    }
    EXPECT_EQ(places, "method target Idempotent X-Deadline-Ms X-Team Idempotent X-Ticket ");
    EXPECT_FALSE(parsed.m_idempotent);
}

TEST(caller_request, accepts_paths_below_the_service)
{
    EXPECT_EQ(service_of_target("/v1/services/quotes/requests"), service_id{"quotes"});
    EXPECT_EQ(service_of_target("/v1/services/quotes/requests/a/b?c=d"), service_id{"quotes"});
    EXPECT_TRUE(service_of_target("/v1/services/quotes/requestsx").empty());
    EXPECT_TRUE(service_of_target("/v1/services//requests").empty());
    EXPECT_TRUE(service_of_target("/v1/services/quotes").empty());
}

// Guards against a crash on, or acceptance of, an invalid target or deadline.
RC_GTEST_PROP(caller_request, any_text_is_parsed_or_reported, (const std::string& target, const std::string& deadline))
{
    auto request = make_request();
    request.target("/v1/services/" + target);
    request.set("X-Deadline-Ms", deadline);
    findings found;
    const auto parsed = parse_caller_request(request, found);
    RC_ASSERT(!found.empty() || (parsed.m_deadline && parsed.m_deadline->count() > 0 && !parsed.m_service.empty()));
}

} // namespace
