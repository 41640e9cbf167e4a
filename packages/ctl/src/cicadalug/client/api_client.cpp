#include <cicadalug/client/api_client.hpp>
#include <cicadalug/http/http_connection.hpp>
#include <cicadalug/http/line_stream.hpp>
#include <cicadalug/http/target.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <sstream>
#include <utility>

namespace cicadalug {

namespace {

using nlohmann::json;

/** @brief Idle time after which a watch stream counts as broken; the server sends a line at least every second. */
constexpr milliseconds watch_idle_timeout{10'000};
/** @brief Default body limit of an entry VM in bytes; a larger request is rejected before anything is sent. */
constexpr std::size_t max_body_size{1'048'576};

[[nodiscard]] auto to_text(const tcp_endpoint& endpoint) -> std::string
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

/** @brief Parses the findings in the body of an error response; without any, reports the HTTP status. */
[[nodiscard]] auto parse_findings(const json& body, const unsigned status, const std::string& location) -> findings
{
    findings found;
    const auto list = body.is_object() ? body.value("findings", json::array()) : json::array();
    for (const auto& item : list) {
        if (item.is_object()) {
            found.add(item.value("place", location), item.value("message", std::string{}));
        }
    }
    if (found.empty()) {
        found.add(location, "responded with status " + std::to_string(status));
    }
    return found;
}

[[nodiscard]] auto to_exit_code(const http::status status) -> exit_code
{
    switch (status) {
    case http::status::conflict:
    case http::status::precondition_failed:
        return exit_code::version_conflict;
    case http::status::not_found:
        return exit_code::not_found;
    case http::status::gateway_timeout:
        return exit_code::unknown_outcome;
    default:
        return static_cast<unsigned>(status) / 100 == 4 ? exit_code::invalid : exit_code::unavailable;
    }
}

[[nodiscard]] auto to_result(const http_response& response, const std::string& location) -> api_result<json>
{
    auto body = json::parse(response.body(), nullptr, false);
    if (response.result_int() / 100 == 2) {
        if (body.is_discarded()) {
            return api_failure{exit_code::unavailable, findings{location, "the response is not JSON"}, {}};
        }
        return body;
    }
    api_failure failure{to_exit_code(response.result()), parse_findings(body, response.result_int(), location), {}};
    if (failure.m_code == exit_code::version_conflict && body.is_object() &&
        body.value("version", json{}).is_number()) {
        failure.m_current_version = version{body["version"].get<std::uint64_t>()};
    }
    return failure;
}

/** @brief Checks if a failed request can go to another entry VM: nothing was sent, or the request is read-only. */
[[nodiscard]] auto can_try_next_entry_vm(const http_request& request, const http_failure& failure) -> bool
{
    return failure.m_progress == http_progress::not_sent || request.method() == http::verb::get;
}

[[nodiscard]] auto extract_version(const api_result<json>& response) -> api_result<version>
{
    if (!response) {
        return response.assume_error();
    }
    const auto& body = response.assume_value();
    return version{body.is_object() && body.value("version", json{}).is_number() ? body["version"].get<std::uint64_t>()
                                                                                 : 0U};
}

/** @brief Line handler of a watch stream and the way in which the stream ended. */
struct watch_session {
    const std::function<bool(const json&)>& m_on_line;
    std::optional<http_failure> m_failure;
    bool m_stopped{false};
};

[[nodiscard]] auto read_lines(const tcp_endpoint endpoint, http_request request, const milliseconds timeout,
                              watch_session& session) -> asio::awaitable<void>
{
    auto opened = co_await line_stream::open(co_await asio::this_coro::executor, endpoint, std::move(request), timeout);
    if (!opened) {
        session.m_failure = opened.assume_error();
        co_return;
    }
    const auto stream = std::move(opened).assume_value();
    while (true) {
        const auto line = co_await stream->next_line(watch_idle_timeout);
        if (!line) {
            session.m_failure = line.assume_error();
            co_return;
        }
        const auto value = json::parse(line.assume_value(), nullptr, false);
        if (!value.is_discarded() && !session.m_on_line(value)) {
            session.m_stopped = true;
            co_return;
        }
    }
}

} // namespace

auto resource_path(const resource_kind kind, const std::string& name) -> std::string
{
    auto path = "/v1/resources/" + std::string{to_string(kind)};
    return name.empty() ? path : path + '/' + percent_encode(name);
}

api_client::api_client(std::vector<tcp_endpoint> entry_vms, const milliseconds timeout)
    : m_entry_vms{std::move(entry_vms)}, m_timeout{timeout}
{
}

auto api_client::call(const http_request& request) const -> api_result<json>
{
    if (request.body().size() > max_body_size) {
        return api_failure{
            exit_code::invalid,
            findings{"body", "has " + std::to_string(request.body().size()) + " bytes; at most 1048576 are accepted"},
            {}};
    }
    findings unreachable;
    for (const auto& entry_vm : m_entry_vms) {
        const auto response = http_fetch_blocking(entry_vm, request, m_timeout);
        if (response) {
            return to_result(response.assume_value(), to_text(entry_vm));
        }
        const auto& failure = response.assume_error();
        if (!can_try_next_entry_vm(request, failure)) {
            return api_failure{exit_code::unknown_outcome,
                               findings{to_text(entry_vm),
                                        "the response was lost, the change may have been made: " + failure.m_message},
                               {}};
        }
        unreachable.add(to_text(entry_vm), failure.m_message);
    }
    return api_failure{exit_code::unavailable, std::move(unreachable), {}};
}

auto api_client::get(const std::string& target) const -> api_result<json>
{
    return call(http_request{http::verb::get, target, 11});
}

auto api_client::list(const resource_kind kind) const -> api_result<std::vector<json>>
{
    auto response = get(resource_path(kind, {}));
    if (!response) {
        return response.assume_error();
    }
    const auto& body = response.assume_value();
    std::vector<json> items;
    for (const auto& item : body.is_object() ? body.value("items", json::array()) : json::array()) {
        items.push_back(item);
    }
    return items;
}

auto api_client::read(const resource_kind kind, const std::string& name) const -> api_result<json>
{
    return get(resource_path(kind, name));
}

auto api_client::put(const resource& item, const version expected) const -> api_result<version>
{
    http_request request{http::verb::put, resource_path(item.m_kind, item.m_name), 11};
    request.set(http::field::content_type, "application/json");
    if (expected == version{}) {
        request.set(http::field::if_none_match, "*");
    }
    else {
        request.set(http::field::if_match, '"' + std::to_string(expected.value()) + '"');
    }
    request.body() = to_json(item).dump();
    return extract_version(call(request));
}

auto api_client::erase(const resource_kind kind, const std::string& name, const version expected) const
    -> api_result<version>
{
    http_request request{http::verb::delete_, resource_path(kind, name), 11};
    request.set(http::field::if_match, '"' + std::to_string(expected.value()) + '"');
    return extract_version(call(request));
}

auto api_client::watch(const version after, const milliseconds duration,
                       const std::function<bool(const json&)>& on_line) const -> api_result<version>
{
    findings unreachable;
    const auto end = std::chrono::steady_clock::now() + duration;
    for (const auto& entry_vm : m_entry_vms) {
        asio::io_context context{1};
        watch_session session{on_line, std::nullopt, false};
        http_request request{http::verb::get, "/v1/watch?after=" + std::to_string(after.value()), 11};
        asio::co_spawn(context, read_lines(entry_vm, std::move(request), m_timeout, session), asio::detached);
        if (duration == milliseconds{}) {
            context.run();
        }
        else {
            context.run_until(end);
        }
        if (session.m_stopped || !session.m_failure) {
            return version{};
        }
        unreachable.add(to_text(entry_vm), session.m_failure->m_message);
        if (session.m_failure->m_progress != http_progress::not_sent) {
            break;
        }
    }
    return api_failure{exit_code::unavailable, std::move(unreachable), {}};
}

} // namespace cicadalug
