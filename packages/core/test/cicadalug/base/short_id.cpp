#include <cicadalug/base/short_id.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <sstream>
#include <string>

namespace cicadalug::test {

namespace {

using waggon_id = short_id<struct waggon_tag>;

} // namespace

// Guards against an order or an equality that differs from that of the texts.
RC_GTEST_PROP(short_id, compares_like_its_text, (const std::string& first, const std::string& second))
{
    const auto left = first.substr(0, waggon_id::max_size);
    const auto right = second.substr(0, waggon_id::max_size);
    RC_ASSERT((waggon_id{left} <=> waggon_id{right}) == (left <=> right));
    RC_ASSERT((waggon_id{left} == waggon_id{right}) == (left == right));
    RC_ASSERT(waggon_id{left}.str() == left);
}

// Guards against two long texts that share a prefix and are taken for the same object.
TEST(short_id, a_text_that_is_too_long_identifies_nothing)
{
    EXPECT_TRUE(waggon_id{std::string(waggon_id::max_size + 1, 'a')}.empty());
    EXPECT_FALSE(waggon_id{std::string(waggon_id::max_size, 'a')}.empty());
    EXPECT_TRUE(waggon_id{}.empty());
}

// Guards against different hashes of equal identifiers, and against unreadable logs.
TEST(short_id, is_hashed_and_written_by_its_text)
{
    const waggon_id id{"5c0e7a21d94b36f8"};
    EXPECT_EQ(std::hash<waggon_id>{}(id), std::hash<waggon_id>{}(waggon_id{id.str()}));
    std::ostringstream text;
    text << id;
    EXPECT_EQ(text.str(), "5c0e7a21d94b36f8");
}

} // namespace cicadalug::test
