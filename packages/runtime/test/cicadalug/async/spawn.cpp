#include <cicadalug/async/spawn.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <stdexcept>

namespace cicadalug::test {

namespace {

namespace asio = boost::asio;

[[nodiscard]] auto run_coroutine(asio::io_context& context, const bool fails) -> asio::awaitable<void>
{
    co_await asio::post(context, asio::use_awaitable);
    if (fails) {
        throw std::runtime_error{"no value"};
    }
}

} // namespace

// Guards against a coroutine that ends with an exception while the program goes on without it.
TEST(spawn, an_exception_ends_the_event_loop)
{
    asio::io_context context;
    spawn(context.get_executor(), run_coroutine(context, true), "coroutine");
    EXPECT_THROW(context.run(), std::runtime_error);
}

// Guards against a term that goes on although one of its coroutines has ended with an exception.
TEST(spawn, an_exception_is_passed_to_the_owner_of_the_coroutine)
{
    asio::io_context context;
    int failures{0};
    spawn(context.get_executor(), run_coroutine(context, true), "coroutine", [&failures] { ++failures; });
    spawn(context.get_executor(), run_coroutine(context, false), "coroutine", [&failures] { ++failures; });
    context.run();
    EXPECT_EQ(failures, 1);
}

} // namespace cicadalug::test
