#ifndef CICADALUG_ASYNC_RUN_ON_HPP
#define CICADALUG_ASYNC_RUN_ON_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace cicadalug {

namespace internal {

template<typename Type>
[[nodiscard]] auto run_into(boost::asio::awaitable<Type> task, std::optional<Type>* done)
    -> boost::asio::awaitable<void>
{
    done->emplace(co_await std::move(task));
}

} // namespace internal

/**
 * @brief Runs a coroutine on another executor and waits for its result. asio::co_spawn alone needs a result that can be
 * constructed without a value, which a result<> cannot.
 * @param executor Runs the coroutine.
 * @param task The coroutine.
 * @return Its result, on the executor of the caller.
 */
template<typename Type>
[[nodiscard]] auto run_on(const boost::asio::any_io_executor executor, boost::asio::awaitable<Type> task)
    -> boost::asio::awaitable<Type>
{
    std::optional<Type> done;
    co_await boost::asio::co_spawn(executor, internal::run_into(std::move(task), &done), boost::asio::use_awaitable);
    co_return std::move(*done);
}

} // namespace cicadalug

#endif
