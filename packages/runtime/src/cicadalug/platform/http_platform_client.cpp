#include <cicadalug/async/run_on.hpp>
#include <cicadalug/http/http_pool.hpp>
#include <cicadalug/http/line_stream.hpp>
#include <cicadalug/http/target.hpp>
#include <cicadalug/platform/http_platform_client.hpp>
#include <cicadalug/platform/json.hpp>

#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace cicadalug {

namespace {

using nlohmann::json;

/** @brief Maximum number of idle connections that are kept. */
constexpr std::size_t max_idle_connections{8};

[[nodiscard]] auto to_platform_error(const http_failure& failure) -> platform_error
{
    const auto kind =
        failure.m_progress == http_progress::not_sent ? platform_error_kind::unavailable : platform_error_kind::unknown;
    return {kind, failure.m_message, {}};
}

[[nodiscard]] auto to_platform_error(const http_response& response, const json& body) -> platform_error
{
    const auto text = "platform answered " + std::to_string(response.result_int());
    switch (response.result_int()) {
    case 404:
        return {platform_error_kind::not_found, text, {}};
    case 409:
        return {platform_error_kind::conflict, text, kv_entry_from_json(body)};
    case 503:
        return {platform_error_kind::unavailable, text, {}};
    default:
        // A server error may be reported after the write took effect.
        return {response.result_int() >= 500 ? platform_error_kind::unknown : platform_error_kind::rejected, text, {}};
    }
}

[[nodiscard]] auto make_request(const http::verb verb, const std::string& target, std::string body = {}) -> http_request
{
    http_request request{verb, beast::string_view{target.data(), target.size()}, 11};
    request.set(http::field::host, "platform");
    request.body() = std::move(body);
    return request;
}

} // namespace

class http_platform_client::state {
public:
    state(const asio::any_io_executor& executor, const tcp_endpoint& endpoint, const platform_timeouts& timeouts)
        : m_strand{asio::make_strand(executor)}, m_endpoint{endpoint}, m_timeouts{timeouts}, m_connections{
                                                                                                 m_strand, endpoint,
                                                                                                 max_idle_connections}
    {
    }

    [[nodiscard]] static auto call(std::shared_ptr<state> self, http_request request)
        -> asio::awaitable<platform_result<json>>
    {
        const asio::any_io_executor strand = self->m_strand;
        co_return co_await run_on(strand, call_on_strand(std::move(self), std::move(request)));
    }

    [[nodiscard]] static auto list_vms(std::shared_ptr<state> self, availability_zone_id zone)
        -> asio::awaitable<platform_result<std::vector<platform_vm>>>
    {
        const asio::any_io_executor strand = self->m_strand;
        co_return co_await run_on(strand, list_on_strand(std::move(self), std::move(zone)));
    }

    asio::strand<asio::any_io_executor> m_strand;
    tcp_endpoint m_endpoint;
    platform_timeouts m_timeouts;
    std::atomic<std::uint64_t> m_calls{0};

private:
    /** @brief VM list of a zone with its HTTP entity tag, so that the platform does not resend an unchanged list. */
    struct cached_vm_list {
        std::string m_etag;
        std::vector<platform_vm> m_vms;
    };

    [[nodiscard]] static auto exchange(std::shared_ptr<state> self, http_request request)
        -> asio::awaitable<platform_result<http_response>>
    {
        ++self->m_calls;
        auto received = co_await self->m_connections.exchange(std::move(request), self->m_timeouts.m_call);
        if (!received) {
            co_return to_platform_error(received.assume_error());
        }
        co_return std::move(received).assume_value();
    }

    [[nodiscard]] static auto call_on_strand(std::shared_ptr<state> self, http_request request)
        -> asio::awaitable<platform_result<json>>
    {
        const auto received = co_await exchange(std::move(self), std::move(request));
        if (!received) {
            co_return received.assume_error();
        }
        co_return parse_body(received.assume_value());
    }

    [[nodiscard]] static auto list_on_strand(std::shared_ptr<state> self, const availability_zone_id zone)
        -> asio::awaitable<platform_result<std::vector<platform_vm>>>
    {
        auto request = make_request(http::verb::get, "/vms?availability_zone=" + percent_encode(zone.str()));
        if (const auto cached = self->m_vm_lists.find(zone); cached != self->m_vm_lists.end()) {
            request.set(http::field::if_none_match, cached->second.m_etag);
        }
        const auto received = co_await exchange(self, std::move(request));
        if (!received) {
            co_return received.assume_error();
        }
        const auto& response = received.assume_value();
        const auto cached = self->m_vm_lists.find(zone);
        if (response.result() == http::status::not_modified && cached != self->m_vm_lists.end()) {
            co_return cached->second.m_vms;
        }
        const auto body = parse_body(response);
        if (!body) {
            co_return body.assume_error();
        }
        auto vms = platform_vms_from_json(body.assume_value());
        const std::string etag{response[http::field::etag]};
        if (etag.empty()) {
            self->m_vm_lists.erase(zone);
        }
        else {
            self->m_vm_lists[zone] = {etag, vms};
        }
        co_return vms;
    }

    [[nodiscard]] static auto parse_body(const http_response& response) -> platform_result<json>
    {
        auto body = json::parse(response.body(), nullptr, false);
        if (response.result_int() / 100 != 2) {
            return to_platform_error(response, body);
        }
        if (!body.is_object()) {
            return platform_error{platform_error_kind::unknown, "the answer is not a JSON object", {}};
        }
        return body;
    }

    http_pool m_connections;

    std::map<availability_zone_id, cached_vm_list> m_vm_lists;
};

namespace {

class http_platform_watch final : public platform_watch {
public:
    http_platform_watch(std::shared_ptr<http_platform_client::state> owner, std::unique_ptr<line_stream> stream)
        : m_owner{std::move(owner)}, m_stream{std::move(stream)}
    {
    }

    [[nodiscard]] auto next() -> asio::awaitable<platform_result<kv_watch_event>> override
    {
        const asio::any_io_executor strand = m_owner->m_strand;
        co_return co_await run_on(strand, read());
    }

private:
    [[nodiscard]] auto read() -> asio::awaitable<platform_result<kv_watch_event>>
    {
        auto line = co_await m_stream->next_line(m_owner->m_timeouts.m_watch_timeout);
        if (!line) {
            co_return to_platform_error(line.assume_error());
        }
        const auto body = json::parse(line.assume_value(), nullptr, false);
        if (!body.is_object()) {
            co_return platform_error{platform_error_kind::rejected, "a watch line is not a JSON object", {}};
        }
        kv_watch_event event;
        if (body.contains("key")) {
            event.m_change = kv_entry_from_json(body);
        }
        else {
            event.m_progress = version{unsigned_member(body, "revision")};
        }
        co_return event;
    }

    std::shared_ptr<http_platform_client::state> m_owner;
    std::unique_ptr<line_stream> m_stream;
};

} // namespace

http_platform_client::http_platform_client(const asio::any_io_executor& executor, const tcp_endpoint& endpoint,
                                           const platform_timeouts& timeouts)
    : m_state{std::make_shared<state>(executor, endpoint, timeouts)}
{
}

http_platform_client::~http_platform_client() = default;

auto http_platform_client::get(const std::string key) -> asio::awaitable<platform_result<kv_entry>>
{
    auto body = co_await state::call(m_state, make_request(http::verb::get, "/kv/" + percent_encode(key)));
    if (body) {
        co_return kv_entry_from_json(body.assume_value());
    }
    if (body.assume_error().m_kind == platform_error_kind::not_found) {
        kv_entry absent;
        absent.m_key = key;
        co_return absent;
    }
    co_return std::move(body).assume_error();
}

auto http_platform_client::range(const std::string prefix) -> asio::awaitable<platform_result<kv_range>>
{
    auto body = co_await state::call(m_state, make_request(http::verb::get, "/kv?prefix=" + percent_encode(prefix)));
    if (!body) {
        co_return std::move(body).assume_error();
    }
    co_return kv_range_from_json(body.assume_value());
}

auto http_platform_client::put_once(const kv_write write) -> asio::awaitable<platform_result<version>>
{
    auto body = co_await state::call(
        m_state, make_request(http::verb::put, "/kv/" + percent_encode(write.m_key), to_json(write).dump()));
    if (!body) {
        co_return std::move(body).assume_error();
    }
    co_return version{unsigned_member(body.assume_value(), "version")};
}

auto http_platform_client::grant_lease(const milliseconds ttl) -> asio::awaitable<platform_result<lease_id>>
{
    auto body = co_await state::call(
        m_state, make_request(http::verb::post, "/leases", "{\"ttl_ms\":" + std::to_string(ttl.count()) + '}'));
    if (!body) {
        co_return std::move(body).assume_error();
    }
    co_return lease_id{string_member(body.assume_value(), "lease")};
}

auto http_platform_client::keep_alive(const lease_id lease) -> asio::awaitable<platform_result<lease_id>>
{
    auto body = co_await state::call(
        m_state, make_request(http::verb::post, "/leases/" + percent_encode(lease.str()) + "/keepalive"));
    if (!body) {
        co_return std::move(body).assume_error();
    }
    co_return lease;
}

auto http_platform_client::revoke_lease(const lease_id lease) -> asio::awaitable<platform_result<lease_id>>
{
    auto body =
        co_await state::call(m_state, make_request(http::verb::delete_, "/leases/" + percent_encode(lease.str())));
    if (!body) {
        co_return std::move(body).assume_error();
    }
    co_return lease;
}

auto http_platform_client::watch(const std::string prefix, const version after)
    -> asio::awaitable<platform_result<std::unique_ptr<platform_watch>>>
{
    ++m_state->m_calls;
    const asio::any_io_executor strand = m_state->m_strand;
    auto request = make_request(http::verb::get,
                                "/watch?prefix=" + percent_encode(prefix) + "&after=" + std::to_string(after.value()));
    auto opened = co_await run_on(
        strand, line_stream::open(strand, m_state->m_endpoint, std::move(request), m_state->m_timeouts.m_call));
    if (!opened) {
        co_return to_platform_error(opened.assume_error());
    }
    std::unique_ptr<platform_watch> watch =
        std::make_unique<http_platform_watch>(m_state, std::move(opened).assume_value());
    co_return std::move(watch);
}

auto http_platform_client::list_vms(availability_zone_id zone)
    -> asio::awaitable<platform_result<std::vector<platform_vm>>>
{
    co_return co_await state::list_vms(m_state, std::move(zone));
}

auto http_platform_client::reboot(const vm_id vm) -> asio::awaitable<platform_result<vm_id>>
{
    auto body =
        co_await state::call(m_state, make_request(http::verb::post, "/vms/" + percent_encode(vm.str()) + "/reboot"));
    if (!body) {
        co_return std::move(body).assume_error();
    }
    co_return vm;
}

auto http_platform_client::calls() const noexcept -> std::uint64_t
{
    return m_state->m_calls;
}

} // namespace cicadalug
