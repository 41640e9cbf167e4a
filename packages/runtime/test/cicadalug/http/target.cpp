#include <cicadalug/http/target.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cicadalug;

// Guards against a key with reserved characters being decoded as a different key.
RC_GTEST_PROP(http_target, encoded_text_is_decoded_unchanged, (const std::string& path, const std::string& value))
{
    const auto target = parse_target(percent_encode(path) + "?prefix=" + percent_encode(value) + "&after=7");
    RC_ASSERT(target.m_path == path);
    RC_ASSERT(target.m_query.at("prefix") == value);
    RC_ASSERT(query_number(target, "after", 0) == 7U);
}

} // namespace
