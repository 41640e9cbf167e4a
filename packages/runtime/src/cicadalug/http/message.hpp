#ifndef CICADALUG_HTTP_MESSAGE_HPP
#define CICADALUG_HTTP_MESSAGE_HPP

#include <cicadalug/base/finding.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
namespace cicadalug {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using tcp_endpoint = asio::ip::tcp::endpoint;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/**
 * @brief Creates a response with a JSON body.
 * @param status Status code.
 * @param body JSON value.
 * @return The response, with its content length set.
 */
[[nodiscard]] auto json_response(http::status status, const nlohmann::json& body) -> http_response;

/**
 * @brief Creates a response with a text body.
 * @param status Status code.
 * @param text Text; a line feed is added.
 * @return The response, with its content length set.
 */
[[nodiscard]] auto text_response(http::status status, const std::string& text) -> http_response;

/**
 * @brief Creates the response for a rejected input, a JSON object with one member "findings".
 * @param status Status code.
 * @param found All findings.
 * @return The response, with its content length set.
 */
[[nodiscard]] auto findings_response(http::status status, const findings& found) -> http_response;

/**
 * @brief Parses an IP address and a port, for example "127.0.0.1:80" or "[::1]:80".
 * @param text Text to parse.
 * @param location Location of the text, for the finding.
 * @param found Receives a finding if the text is not an endpoint.
 * @return The endpoint, or a default-constructed one after a finding.
 */
[[nodiscard]] auto parse_endpoint(std::string_view text, const std::string& location, findings& found) -> tcp_endpoint;

/** @brief Converts a view of Beast, for example a header, to one of the standard library. */
[[nodiscard]] inline auto to_view(const beast::string_view text) noexcept -> std::string_view
{
    return {text.data(), text.size()};
}

/** @brief Converts a view of the standard library, for example the name of a header, to one of Beast. */
[[nodiscard]] inline auto to_beast(const std::string_view text) noexcept -> beast::string_view
{
    return {text.data(), text.size()};
}

} // namespace cicadalug

#endif
