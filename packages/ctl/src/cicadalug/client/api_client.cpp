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

/** @brief Time without a line after which a watch counts as broken; the server sends one at least every second. */
constexpr milliseconds silence_limit{10'000};
/** @brief Largest body that an entry VM takes by default; a larger one is a finding before anything is sent. */
constexpr std::size_t largest_body{1'048'576};

[[nodiscard]] auto to_text(const tcp_endpoint& endpoint) -> std::string
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

/** @brief Reads the findings of an error answer. */
[[nodiscard]] auto findings_of(const json& body, const unsigned status, const std::string& place) -> findings
{
    findings found;
    const auto list = body.is_object() ? body.value("findings", json::array()) : json::array();
    for (const auto& item : list) {
        if (item.is_object()) {
            found.add(item.value("place", place), item.value("message", std::string{}));
        }
    }
    if (found.empty()) {
        found.add(place, "answered with status " + std::to_string(status));
    }
    return found;
}

[[nodiscard]] auto code_of(const http::status status) -> exit_code
{
    switch (status) {
    case http::status::conflict:
    case http::status::precondition_failed:
        return exit_code::lost_race;
    case http::status::not_found:
        return exit_code::not_found;
    case http::status::gateway_timeout:
        return exit_code::unknown;
    default:
        return static_cast<unsigned>(status) / 100 == 4 ? exit_code::invalid : exit_code::unavailable;
    }
}

[[nodiscard]] auto to_result(const http_response& response, const std::string& place) -> api_result<json>
{
    auto body = json::parse(response.body(), nullptr, false);
    if (response.result_int() / 100 == 2) {
        if (body.is_discarded()) {
            return api_failure{exit_code::unavailable, findings{place, "the answer is not JSON"}, {}};
        }
        return body;
    }
    api_failure failure{code_of(response.result()), findings_of(body, response.result_int(), place), {}};
    if (failure.m_code == exit_code::lost_race && body.is_object() && body.value("version", json{}).is_number()) {
        failure.m_current = version{body["version"].get<std::uint64_t>()};
    }
    return failure;
}

/** @brief Tells whether another entry VM may be tried: nothing was sent, or the request changes nothing. */
[[nodiscard]] auto may_try_next(const http_request& request, const http_failure& failure) -> bool
{
    return failure.m_progress == http_progress::not_sent || request.method() == http::verb::get;
}

[[nodiscard]] auto version_of(const api_result<json>& answer) -> api_result<version>
{
    if (!answer) {
        return answer.assume_error();
    }
    const auto& body = answer.assume_value();
    return version{body.is_object() && body.value("version", json{}).is_number() ? body["version"].get<std::uint64_t>()
                                                                                 : 0U};
}

/** @brief Lines of a watch as they arrive, and how it ended. */
struct watch_run {
    const std::function<bool(const json&)>& m_use;
    std::optional<http_failure> m_failure;
    bool m_ended{false};
};

[[nodiscard]] auto read_lines(const tcp_endpoint endpoint, http_request request, const milliseconds timeout,
                              watch_run& run) -> asio::awaitable<void>
{
    auto opened = co_await line_stream::open(co_await asio::this_coro::executor, endpoint, std::move(request), timeout);
    if (!opened) {
        run.m_failure = opened.assume_error();
        co_return;
    }
    const auto stream = std::move(opened).assume_value();
    while (true) {
        const auto line = co_await stream->next_line(silence_limit);
        if (!line) {
            run.m_failure = line.assume_error();
            co_return;
        }
        const auto value = json::parse(line.assume_value(), nullptr, false);
        if (!value.is_discarded() && !run.m_use(value)) {
            run.m_ended = true;
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
    if (request.body().size() > largest_body) {
        return api_failure{
            exit_code::invalid,
            findings{"body", "has " + std::to_string(request.body().size()) + " bytes; at most 1048576 are taken"},
            {}};
    }
    findings unreachable;
    for (const auto& entry_vm : m_entry_vms) {
        const auto answer = http_fetch_blocking(entry_vm, request, m_timeout);
        if (answer) {
            return to_result(answer.assume_value(), to_text(entry_vm));
        }
        const auto& failure = answer.assume_error();
        if (!may_try_next(request, failure)) {
            return api_failure{
                exit_code::unknown,
                findings{to_text(entry_vm), "the answer was lost, the change may have been made: " + failure.m_message},
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
    auto answer = get(resource_path(kind, {}));
    if (!answer) {
        return answer.assume_error();
    }
    const auto& body = answer.assume_value();
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
    return version_of(call(request));
}

auto api_client::erase(const resource_kind kind, const std::string& name, const version expected) const
    -> api_result<version>
{
    http_request request{http::verb::delete_, resource_path(kind, name), 11};
    request.set(http::field::if_match, '"' + std::to_string(expected.value()) + '"');
    return version_of(call(request));
}

auto api_client::watch(const version after, const milliseconds limit, const std::function<bool(const json&)>& use) const
    -> api_result<version>
{
    findings unreachable;
    const auto end = std::chrono::steady_clock::now() + limit;
    for (const auto& entry_vm : m_entry_vms) {
        asio::io_context context{1};
        watch_run run{use, std::nullopt, false};
        http_request request{http::verb::get, "/v1/watch?after=" + std::to_string(after.value()), 11};
        asio::co_spawn(context, read_lines(entry_vm, std::move(request), m_timeout, run), asio::detached);
        if (limit == milliseconds{}) {
            context.run();
        }
        else {
            context.run_until(end);
        }
        if (run.m_ended || !run.m_failure) {
            return version{};
        }
        unreachable.add(to_text(entry_vm), run.m_failure->m_message);
        if (run.m_failure->m_progress != http_progress::not_sent) {
            break;
        }
    }
    return api_failure{exit_code::unavailable, std::move(unreachable), {}};
}

} // namespace cicadalug
