#include <cicadalug/http/body_buffer.hpp>

#include <gtest/gtest.h>

// Guards against a large body that is read in hundreds of pieces, each of which waits for its turn in the event loop.
TEST(body_buffer, room_is_made_for_the_stated_length)
{
    boost::beast::flat_buffer buffer;
    cicadalug::reserve_body(buffer, 50'000);
    EXPECT_GE(buffer.capacity(), 50'000U);
}

// Guards against a stated length that makes the process allocate more memory than one read can fill.
TEST(body_buffer, a_stated_length_is_not_trusted)
{
    boost::beast::flat_buffer buffer;
    cicadalug::reserve_body(buffer, 1'000'000'000'000);
    EXPECT_LE(buffer.capacity(), 100'000U);
    cicadalug::reserve_body(buffer, boost::none);
    EXPECT_LE(buffer.capacity(), 100'000U);
}
