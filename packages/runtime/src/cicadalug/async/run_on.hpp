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
[[nodiscard]] auto store_result(boost::asio::awaitable<Type> task, std::optional<Type>* output)
    -> boost::asio::awaitable<void>
{
    output->emplace(co_await std::move(task));
}

} // namespace internal

/**
 * @brief Runs a coroutine on another executor and waits for its result. boost::asio::co_spawn alone requires a
 * default-constructible result type, which result<> is not.
 * @param executor Executor that runs the coroutine.
 * @param task Coroutine to run.
 * @return Result of the coroutine. The caller resumes on its own executor.
 */
template<typename Type>
[[nodiscard]] auto run_on(const boost::asio::any_io_executor executor, boost::asio::awaitable<Type> task)
    -> boost::asio::awaitable<Type>
{
    std::optional<Type> output;
    co_await boost::asio::co_spawn(executor, internal::store_result(std::move(task), &output),
                                   boost::asio::use_awaitable);
    co_return std::move(*output);
}

} // namespace cicadalug

#endif
