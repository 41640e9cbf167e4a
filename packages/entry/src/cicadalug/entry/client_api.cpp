#include <cicadalug/adapter/job_body.hpp>
#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/client_api.hpp>
#include <cicadalug/entry/read_clocks.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/progress.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Paths between entry VMs. */
constexpr std::string_view peer_job_path{"/jobs/"};
constexpr std::string_view peer_queue_path{"/queues/"};

/** @brief A question to the decider has this time; the store is asked afterwards. */
constexpr milliseconds decider_timeout{250};

/** @brief Time for one call to the store. */
constexpr milliseconds store_timeout{700};

/** @brief The answer leaves this long before the client's deadline. */
constexpr milliseconds deadline_margin{150};

/** @brief Time for a request whose client names no deadline. */
constexpr milliseconds default_deadline{3'000};

/** @brief When to come back after a refusal without a better estimate, in seconds. */
constexpr const char* retry_after_s{"1"};

[[nodiscard]] auto make_response(const http::status status, std::string body = {}) -> http_response
{
    http_response response{status, 11};
    if (!body.empty()) {
        response.set(http::field::content_type, "application/json");
    }
    if (status == http::status::service_unavailable || status == http::status::too_many_requests) {
        response.set(http::field::retry_after, retry_after_s);
    }
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

[[nodiscard]] auto to_view(const beast::string_view text) -> std::string_view
{
    return {text.data(), text.size()};
}

/** @brief Time limit of a request: what its client waits, or its queue's timeout. */
[[nodiscard]] auto deadline_of(const http_request& request, const milliseconds queue_timeout) -> time_point
{
    auto limit = queue_timeout;
    const auto text = to_view(request[beast::string_view{deadline_header.data(), deadline_header.size()}]);
    std::int64_t told{0};
    if (std::from_chars(text.data(), text.data() + text.size(), told).ec == std::errc{} && told > 0) {
        limit = std::min(limit, milliseconds{told});
    }
    return monotonic_now() + std::max(limit - deadline_margin, limit / 2);
}

[[nodiscard]] auto time_left(const time_point deadline, const milliseconds most) -> milliseconds
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - monotonic_now());
    return std::clamp(left, milliseconds{1}, most);
}

[[nodiscard]] auto without_port(const std::string_view host) -> std::string_view
{
    return host.substr(0, host.find(':'));
}

} // namespace

auto client_api::own_decider() const -> const decider*
{
    const auto& own = *m_parts.m_decider;
    return own != nullptr && own->is_loaded() ? own.get() : nullptr;
}

auto client_api::handle(http_exchange& exchange) -> asio::awaitable<void>
{
    const auto config = *m_parts.m_config;
    const auto& request = exchange.request();
    if (config == nullptr) {
        co_await exchange.respond(make_response(http::status::service_unavailable));
        co_return;
    }
    const auto target = to_view(request.target());
    const auto path = target.substr(0, target.find('?'));
    const auto* queue = find_queue(*config, without_port(to_view(request[http::field::host])), path);
    if (queue == nullptr) {
        LOG_EVERY_N(INFO, 10) << log_line{"queue_unknown"}.with("path", path).with("version", config->m_version);
        co_await exchange.respond(make_response(http::status::not_found));
        co_return;
    }
    const std::string id{path.substr(queue->m_prefix.size())};
    auto response = co_await answer(request, *queue, id);
    co_await exchange.respond(std::move(response));
}

auto client_api::answer(const http_request& request, const queue_config& queue, const std::string& id)
    -> asio::awaitable<http_response>
{
    const auto deadline = deadline_of(request, queue.m_timeout);
    if (id.empty() && request.method() == http::verb::get) {
        co_return co_await count(queue, deadline);
    }
    if (!is_job_id(id)) {
        co_return make_response(http::status::bad_request);
    }
    switch (request.method()) {
    case http::verb::post:
        co_return co_await submit(request, queue, id);
    case http::verb::get:
        co_return co_await show(id, deadline);
    case http::verb::delete_:
        co_return co_await cancel(id, deadline);
    default:
        co_return make_response(http::status::method_not_allowed);
    }
}

auto client_api::submit(const http_request& request, const queue_config& queue, const std::string& id)
    -> asio::awaitable<http_response>
{
    auto decoded = decode_job(request.body());
    if (!decoded) {
        LOG(INFO) << log_line{"job_invalid"}.with("request", id).with("findings", decoded.assume_error().to_string());
        co_return findings_response(http::status::bad_request, decoded.assume_error());
    }
    job_record record;
    record.m_id = job_id{id};
    record.m_policy = queue.m_policy;
    record.m_spec = std::move(decoded).assume_value();
    const auto clock = read_clocks();
    record.m_arrived_unix_ms = clock.m_unix_ms;

    const auto result = co_await m_parts.m_intake->submit(std::move(record), deadline_of(request, queue.m_timeout));
    if (result == intake_result::stored) {
        const auto took = std::chrono::duration_cast<milliseconds>(monotonic_now() - clock.m_now);
        LOG(INFO) << log_line{"job_accepted"}
                         .with("request", id)
                         .with("queue", queue.m_policy.m_queue)
                         .with("took_ms", took.count());
        co_return make_response(http::status::ok);
    }
    LOG(INFO) << log_line{"job_not_accepted"}
                     .with("request", id)
                     .with("outcome", result == intake_result::unknown ? "unknown" : "not stored");
    co_return make_response(result == intake_result::unknown ? http::status::gateway_timeout
                                                             : http::status::service_unavailable);
}

auto client_api::ask_decider(std::string target, const time_point deadline)
    -> asio::awaitable<std::optional<http_response>>
{
    const auto& holder = m_parts.m_leadership->holder();
    if (!holder || m_parts.m_leadership->is_decider()) {
        co_return std::nullopt;
    }
    if (m_decider_pool == nullptr || m_decider_pool->endpoint() != holder->m_peers) {
        m_decider_pool = std::make_shared<http_pool>(m_parts.m_executor, holder->m_peers);
    }
    const auto pool = m_decider_pool;
    http_request request{http::verb::get, target, 11};
    request.set(http::field::host, "decider");
    const auto answer = co_await pool->exchange(std::move(request), time_left(deadline, decider_timeout));
    if (!answer || answer.assume_value().result() != http::status::ok) {
        co_return std::nullopt;
    }
    co_return answer.assume_value();
}

auto client_api::show(const std::string& id, const time_point deadline) -> asio::awaitable<http_response>
{
    if (const auto* own = own_decider()) {
        if (const auto state = own->shown_state(job_id{id})) {
            co_return make_response(http::status::ok, encode_job_state(*state));
        }
    }
    else {
        auto target = std::string{peer_job_path} + id;
        const auto told = co_await ask_decider(std::move(target), deadline);
        if (told) {
            co_return make_response(http::status::ok, told->body());
        }
    }
    co_return co_await show_stored(job_id{id}, deadline);
}

auto client_api::show_stored(const job_id& id, const time_point deadline) -> asio::awaitable<http_response>
{
    while (monotonic_now() < deadline) {
        const auto stored =
            co_await m_parts.m_store->list(job_key(id), std::string{}, time_left(deadline, store_timeout));
        if (stored.m_status == store_status::ok) {
            if (stored.m_items.empty()) {
                co_return make_response(http::status::gone);
            }
            const auto read = co_await m_parts.m_store->read(progress_key(id), time_left(deadline, store_timeout));
            auto state = job_state::queued;
            if (read.m_status == store_status::ok) {
                const auto progress = decode_job_progress(read.m_item.m_value);
                if (progress) {
                    state = progress.assume_value().m_state;
                }
            }
            if (read.m_status == store_status::ok || read.m_status == store_status::missing) {
                const bool cancelled = stored.m_items.size() > 1;
                co_return make_response(http::status::ok,
                                        encode_job_state(cancelled && !is_final(state) ? job_state::cancelled : state));
            }
        }
        co_await sleep_for(m_parts.m_executor, milliseconds{50});
    }
    co_return make_response(http::status::service_unavailable);
}

auto client_api::cancel(const std::string& id, const time_point deadline) -> asio::awaitable<http_response>
{
    const job_id job{id};
    while (monotonic_now() < deadline) {
        const auto read = co_await m_parts.m_store->read(job_key(job), time_left(deadline, store_timeout));
        if (read.m_status == store_status::missing) {
            co_return make_response(http::status::gone);
        }
        if (read.m_status == store_status::ok) {
            store_write write;
            write.m_conditions.push_back({job_key(job), read.m_item.m_revision});
            write.m_puts.push_back({cancel_key(job), "1", no_store_lease});
            const auto written = co_await m_parts.m_store->write(std::move(write), time_left(deadline, store_timeout));
            if (written.m_status == store_status::ok) {
                LOG(INFO) << log_line{"cancel_stored"}.with("request", id);
                co_return make_response(http::status::ok);
            }
        }
        co_await sleep_for(m_parts.m_executor, milliseconds{50});
    }
    co_return make_response(http::status::gateway_timeout);
}

auto client_api::count(const queue_config& queue, const time_point deadline) -> asio::awaitable<http_response>
{
    while (monotonic_now() < deadline) {
        if (const auto* own = own_decider()) {
            co_return make_response(http::status::ok, encode_pending(own->pending(queue.m_policy.m_queue)));
        }
        auto target = std::string{peer_queue_path} + queue.m_policy.m_queue.str();
        const auto told = co_await ask_decider(std::move(target), deadline);
        if (told) {
            co_return make_response(http::status::ok, told->body());
        }
        co_await sleep_for(m_parts.m_executor, milliseconds{50});
    }
    co_return make_response(http::status::service_unavailable);
}

auto client_api::answer_peer(const std::string_view target) const -> http_response
{
    const auto* own = own_decider();
    if (own == nullptr) {
        return make_response(http::status::service_unavailable);
    }
    if (target.starts_with(peer_job_path)) {
        const auto state = own->shown_state(job_id{std::string{target.substr(peer_job_path.size())}});
        return state ? make_response(http::status::ok, encode_job_state(*state))
                     : make_response(http::status::not_found);
    }
    if (target.starts_with(peer_queue_path)) {
        const queue_id queue{std::string{target.substr(peer_queue_path.size())}};
        return make_response(http::status::ok, encode_pending(own->pending(queue)));
    }
    return make_response(http::status::not_found);
}

auto client_api::handle_peer(http_exchange& exchange) -> asio::awaitable<void>
{
    auto response = answer_peer(to_view(exchange.request().target()));
    co_await exchange.respond(std::move(response));
}

} // namespace cicadalug
