#include <cicadalug/scheduler/byte_codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cicadalug::test {

namespace {

constexpr char format{7};

} // namespace

// Guards against values that differ after a message has been read.
RC_GTEST_PROP(byte_codec, values_are_read_as_they_were_written,
              (std::uint64_t number, std::int64_t integer, const std::string& text))
{
    byte_writer writer{format};
    writer.number(number);
    writer.integer(integer);
    writer.text(text);
    const auto bytes = writer.take();
    byte_reader reader{bytes, format};
    RC_ASSERT(reader.number() == number);
    RC_ASSERT(reader.integer() == integer);
    RC_ASSERT(reader.text() == text);
    RC_ASSERT(reader.is_complete());
}

// Guards against a message of another format that is taken for one of this.
TEST(byte_codec, a_message_of_another_format_is_rejected)
{
    byte_writer writer{format};
    writer.number(3);
    const auto bytes = writer.take();
    byte_reader reader{bytes, format + 1};
    EXPECT_TRUE(reader.has_failed());
    EXPECT_EQ(reader.number(), 0U);
    EXPECT_FALSE(reader.is_complete());
}

} // namespace cicadalug::test
