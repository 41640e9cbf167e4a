#include <cicadalug/async/spawn.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <exception>
#include <string>
#include <utility>

namespace cicadalug {

namespace {

[[nodiscard]] auto message_of(const std::exception_ptr& failure) -> std::string
{
    try {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& exception) {
        return exception.what();
    }
    catch (...) {
        return "unknown exception";
    }
}

} // namespace

auto spawn(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> coroutine,
           const std::string_view name, std::function<void()> on_failure) -> void
{
    auto report = [executor, name, on_failure = std::move(on_failure)](const std::exception_ptr& failure) {
        if (!failure) {
            return;
        }
        LOG(ERROR) << log_line{"coroutine_failed"}.with("name", name).with("error", message_of(failure));
        // This handler runs within the coroutine's frame, which would keep an exception.
        boost::asio::post(executor, [failure, on_failure] {
            if (on_failure) {
                on_failure();
                return;
            }
            std::rethrow_exception(failure);
        });
    };
    boost::asio::co_spawn(executor, std::move(coroutine), std::move(report));
}

} // namespace cicadalug
