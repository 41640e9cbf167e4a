#include <cicadalug/http/message.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdint>

namespace cicadalug {

auto json_response(const http::status status, const nlohmann::json& body) -> http_response
{
    http_response response{status, 11};
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
    response.prepare_payload();
    return response;
}

auto text_response(const http::status status, const std::string& text) -> http_response
{
    http_response response{status, 11};
    response.set(http::field::content_type, "text/plain");
    response.body() = text + '\n';
    response.prepare_payload();
    return response;
}

auto findings_response(const http::status status, const findings& found) -> http_response
{
    auto list = nlohmann::json::array();
    for (const auto& item : found.items()) {
        list.push_back({{"place", item.m_place}, {"message", item.m_message}});
    }
    return json_response(status, {{"findings", std::move(list)}});
}

auto parse_endpoint(const std::string_view text, const std::string& location, findings& found) -> tcp_endpoint
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        found.add(location, "is not an IP address and a port: " + std::string{text});
        return {};
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string{host}, error);
    const auto digits = text.substr(colon + 1);
    std::uint16_t port{};
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || status != std::errc{} || end != digits.data() + digits.size()) {
        found.add(location, "is not an IP address and a port: " + std::string{text});
        return {};
    }
    return {address, port};
}

} // namespace cicadalug
