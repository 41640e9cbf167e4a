#ifndef CICADALUG_ENTRY_SIGNAL_EVENT_HPP
#define CICADALUG_ENTRY_SIGNAL_EVENT_HPP

#include <cicadalug/base/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadalug {

/** @brief Suspends the calling coroutine for a duration. */
[[nodiscard]] inline auto sleep_for(const boost::asio::any_io_executor executor, const microseconds time)
    -> boost::asio::awaitable<void>
{
    boost::asio::steady_timer timer{executor, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

/**
 * @brief Event for which coroutines can wait.
 * @note Thread safety: all functions on the executor given to the constructor.
 */
class signal_event {
public:
    /** @brief Constructs an event that is not set. */
    explicit signal_event(const boost::asio::any_io_executor& executor) : m_timer{executor} {}

    /** @brief Sets the event and wakes all waiting coroutines. The end of any wait resets it; until then, a new wait
     * returns at once. */
    auto notify() -> void
    {
        m_set = true;
        m_timer.cancel();
    }

    /** @brief Waits for notify(), at most until the limit. */
    [[nodiscard]] auto wait(const microseconds limit) -> boost::asio::awaitable<void>
    {
        if (!m_set) {
            boost::system::error_code ignored;
            m_timer.expires_after(limit);
            co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        m_set = false;
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_set{false};
};

} // namespace cicadalug

#endif
