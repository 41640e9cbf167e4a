#ifndef CICADALUG_HTTP_LINE_STREAM_HPP
#define CICADALUG_HTTP_LINE_STREAM_HPP

#include <cicadalug/base/result.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/http/http_connection.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace cicadalug {

/**
 * @brief Client side of an HTTP response that is read line by line as it arrives.
 * @note Thread safety: one call at a time, on the executor given to open().
 */
class line_stream {
public:
    /** @brief Connection and parser. */
    class state;

    /**
     * @brief Constructs a stream on a response whose header was read.
     * @param opened Connection and parser.
     */
    explicit line_stream(std::unique_ptr<state> opened);
    line_stream(const line_stream&) = delete;
    line_stream(line_stream&&) = delete;
    auto operator=(const line_stream&) -> line_stream& = delete;
    auto operator=(line_stream&&) -> line_stream& = delete;
    ~line_stream();

    /**
     * @brief Connects, sends a request and reads the header of the response.
     * @param executor Executor of the stream; a strand if the context runs on several threads.
     * @param endpoint Address and port of the server.
     * @param request Request to send.
     * @param timeout Timeout for connecting and, separately, for the header.
     * @return The stream, or the failure; any status other than 200 is a failure.
     */
    [[nodiscard]] static auto open(asio::any_io_executor executor, tcp_endpoint endpoint, http_request request,
                                   milliseconds timeout)
        -> asio::awaitable<result<std::unique_ptr<line_stream>, http_failure>>;

    /**
     * @brief Reads the next line.
     * @param timeout Timeout for the complete line.
     * @return The line without its line feed, or the failure, after which the stream is closed.
     */
    [[nodiscard]] auto next_line(milliseconds timeout) -> asio::awaitable<result<std::string, http_failure>>;

    /** @brief Closes the connection. A running read fails. */
    auto close() -> void;

private:
    std::unique_ptr<state> m_state;
};

} // namespace cicadalug

#endif
