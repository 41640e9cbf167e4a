#include <cicadalug/adapter/job_body.hpp>
#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/async/retry_backoff.hpp>
#include <cicadalug/entry/client_api.hpp>
#include <cicadalug/entry/read_clocks.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/cancel_time.hpp>
#include <cicadalug/scheduler/stored_progress.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Path prefixes of the requests between entry VMs. */
constexpr std::string_view peer_job_path{"/jobs/"};
constexpr std::string_view peer_queue_path{"/queues/"};

/** @brief Timeout of a query to the decider, after which the state of a job is read from the store. */
constexpr milliseconds decider_timeout{250};

/** @brief Timeout of one call to the store. */
constexpr milliseconds store_timeout{700};

/** @brief Longest pauses after the first failed call of a request to the store, and after any number of them. */
constexpr milliseconds first_failure_pause{50};
constexpr milliseconds longest_failure_pause{800};

/** @brief The response is due this long before the client's deadline, or after half of a short time limit. */
constexpr milliseconds deadline_margin{150};

/** @brief Time limit of a request whose client states none. */
constexpr milliseconds default_deadline{3'000};

/** @brief Value of the Retry-After header of rejected requests, in seconds; there is no better estimate. */
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

/** @brief Returns when a request must be done, by the shorter of its client's time limit and its queue's timeout. */
[[nodiscard]] auto deadline_of(const http_request& request, const milliseconds queue_timeout) -> time_point
{
    auto limit = queue_timeout;
    const auto text = to_view(request[to_beast(deadline_header)]);
    std::int64_t client_limit_ms{0};
    if (std::from_chars(text.data(), text.data() + text.size(), client_limit_ms).ec == std::errc{} &&
        client_limit_ms > 0) {
        limit = std::min(limit, milliseconds{client_limit_ms});
    }
    return monotonic_now() + std::max(limit - deadline_margin, limit / 2);
}

[[nodiscard]] auto time_left(const time_point deadline, const milliseconds limit) -> milliseconds
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - monotonic_now());
    return std::clamp(left, milliseconds{1}, limit);
}

[[nodiscard]] auto outcome_name(const intake_result result) -> std::string_view
{
    switch (result) {
    case intake_result::stored:
        return "stored";
    case intake_result::not_stored:
        return "not stored";
    case intake_result::cancelled:
        return "cancelled before";
    case intake_result::refused:
        return "refused by the store";
    case intake_result::unknown:
        break;
    }
    return "unknown";
}

[[nodiscard]] auto without_port(const std::string_view host) -> std::string_view
{
    return host.substr(0, host.find(':'));
}

} // namespace

auto client_api::local_decider() const -> const decider*
{
    const auto& own = *m_dependencies.m_decider;
    return own != nullptr && own->is_loaded() ? own.get() : nullptr;
}

auto client_api::handle(http_exchange& exchange) -> asio::awaitable<void>
{
    const auto config = *m_dependencies.m_config;
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
    auto response = co_await handle_request(request, *queue, id);
    co_await exchange.respond(std::move(response));
}

auto client_api::handle_request(const http_request& request, const queue_config& queue, const std::string& id)
    -> asio::awaitable<http_response>
{
    const auto deadline = deadline_of(request, queue.m_timeout);
    if (id.empty() && request.method() == http::verb::get) {
        co_return co_await count_pending(queue, deadline);
    }
    if (!is_job_id(id)) {
        co_return make_response(http::status::bad_request);
    }
    switch (request.method()) {
    case http::verb::post:
        co_return co_await submit(request, queue, id);
    case http::verb::get:
        co_return co_await get_state(id, deadline);
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
    // A job whose progress cannot be stored would be accepted and never end.
    if (const auto obstacle = find_size_obstacle(record, m_dependencies.m_value_bytes); !obstacle.empty()) {
        LOG(WARNING) << log_line{"job_too_large"}.with("request", id).with("findings", obstacle.to_string());
        co_return findings_response(http::status::bad_request, obstacle);
    }

    const auto result =
        co_await m_dependencies.m_intake->submit(std::move(record), deadline_of(request, queue.m_timeout));
    if (result == intake_result::stored) {
        const auto took = std::chrono::duration_cast<milliseconds>(monotonic_now() - clock.m_now);
        LOG(INFO) << log_line{"job_accepted"}
                         .with("request", id)
                         .with("queue", queue.m_policy.m_queue)
                         .with("took_ms", took.count());
        co_return make_response(http::status::ok);
    }
    LOG(INFO) << log_line{"job_not_accepted"}.with("request", id).with("outcome", outcome_name(result));
    if (result == intake_result::refused) {
        co_return findings_response(http::status::bad_request, findings{"body", "is refused by the store"});
    }
    co_return make_response(result == intake_result::unknown ? http::status::gateway_timeout
                                                             : http::status::service_unavailable);
}

auto client_api::query_decider(std::string target, const time_point deadline)
    -> asio::awaitable<std::optional<http_response>>
{
    const auto& holder = m_dependencies.m_election->holder();
    if (!holder || m_dependencies.m_election->is_decider()) {
        co_return std::nullopt;
    }
    if (m_decider_pool == nullptr || m_decider_pool->endpoint() != holder->m_peers) {
        m_decider_pool = std::make_shared<http_pool>(m_dependencies.m_executor, holder->m_peers);
    }
    const auto pool = m_decider_pool;
    http_request request{http::verb::get, target, 11};
    request.set(http::field::host, "decider");
    const auto response = co_await pool->exchange(std::move(request), time_left(deadline, decider_timeout));
    if (!response || response.assume_value().result() != http::status::ok) {
        co_return std::nullopt;
    }
    co_return response.assume_value();
}

auto client_api::get_state(const std::string& id, const time_point deadline) -> asio::awaitable<http_response>
{
    if (const auto* own = local_decider()) {
        if (const auto state = own->visible_state(job_id{id})) {
            co_return make_response(http::status::ok, encode_job_state(*state));
        }
    }
    else {
        auto target = std::string{peer_job_path} + id;
        const auto response = co_await query_decider(std::move(target), deadline);
        if (response) {
            co_return make_response(http::status::ok, response->body());
        }
    }
    co_return co_await get_stored_state(job_id{id}, deadline);
}

auto client_api::get_stored_state(const job_id& id, const time_point deadline) -> asio::awaitable<http_response>
{
    retry_backoff backoff{id.str(), first_failure_pause, longest_failure_pause};
    store_page stored;
    while (monotonic_now() < deadline) {
        if (stored.m_status != store_status::ok) {
            stored =
                co_await m_dependencies.m_store->list(job_key(id), std::string{}, time_left(deadline, store_timeout));
        }
        if (stored.m_status == store_status::ok) {
            // A cancellation without its job was stored before the job came, which then never runs.
            if (!has_item(stored.m_items, job_key(id))) {
                co_return make_response(http::status::gone);
            }
            const auto read =
                co_await m_dependencies.m_store->read(progress_key(id), time_left(deadline, store_timeout));
            auto state = job_state::queued;
            if (read.m_status == store_status::ok) {
                const auto decoded = decode_stored_state(read.m_item.m_value);
                if (decoded) {
                    state = decoded.assume_value();
                }
                else {
                    LOG(ERROR) << log_line{"progress_unreadable"}
                                      .with("request", id)
                                      .with("findings", decoded.assume_error().to_string());
                }
            }
            if (read.m_status == store_status::ok || read.m_status == store_status::missing) {
                const bool cancelled = has_item(stored.m_items, cancel_key(id));
                co_return make_response(http::status::ok,
                                        encode_job_state(cancelled && !is_final(state) ? job_state::cancelled : state));
            }
        }
        co_await sleep_for(m_dependencies.m_executor, time_left(deadline, backoff.next_pause()));
    }
    co_return make_response(http::status::service_unavailable);
}

auto client_api::cancel(const std::string& id, const time_point deadline) -> asio::awaitable<http_response>
{
    const job_id job{id};
    retry_backoff backoff{id, first_failure_pause, longest_failure_pause};
    while (monotonic_now() < deadline) {
        const auto read = co_await m_dependencies.m_store->read(job_key(job), time_left(deadline, store_timeout));
        const bool missing = read.m_status == store_status::missing;
        bool written{false};
        if (missing || read.m_status == store_status::ok) {
            // The job may still be written. Its write fails once the cancellation is stored.
            written = co_await write_cancel(job, missing ? store_revision{0} : read.m_item.m_revision, deadline);
        }
        if (written && missing) {
            LOG(INFO) << log_line{"cancel_of_unknown_job"}.with("request", id);
            m_dependencies.m_metrics->unknown_job_cancelled();
            co_return make_response(http::status::gone);
        }
        if (written) {
            LOG(INFO) << log_line{"cancel_stored"}.with("request", id);
            co_return make_response(http::status::ok);
        }
        co_await sleep_for(m_dependencies.m_executor, time_left(deadline, backoff.next_pause()));
    }
    co_return make_response(http::status::gateway_timeout);
}

auto client_api::write_cancel(const job_id& job, const store_revision revision, const time_point deadline)
    -> asio::awaitable<bool>
{
    store_write write;
    write.m_conditions.push_back({job_key(job), revision});
    write.m_puts.push_back({cancel_key(job), encode_cancel_time(read_clocks().m_unix_ms), no_store_lease});
    const auto written = co_await m_dependencies.m_store->write(std::move(write), time_left(deadline, store_timeout));
    co_return written.m_status == store_status::ok;
}

auto client_api::count_pending(const queue_config& queue, const time_point deadline) -> asio::awaitable<http_response>
{
    while (monotonic_now() < deadline) {
        const auto* own = local_decider();
        const auto counted = own == nullptr ? std::nullopt : own->pending(queue.m_policy.m_queue);
        if (counted) {
            co_return make_response(http::status::ok, encode_pending(*counted));
        }
        auto target = std::string{peer_queue_path} + queue.m_policy.m_queue.str();
        const auto response = co_await query_decider(std::move(target), deadline);
        if (response) {
            co_return make_response(http::status::ok, response->body());
        }
        co_await sleep_for(m_dependencies.m_executor, milliseconds{50});
    }
    co_return make_response(http::status::service_unavailable);
}

auto client_api::make_peer_response(const std::string_view target) const -> http_response
{
    const auto* own = local_decider();
    if (own == nullptr) {
        return make_response(http::status::service_unavailable);
    }
    if (target.starts_with(peer_job_path)) {
        const auto state = own->visible_state(job_id{target.substr(peer_job_path.size())});
        return state ? make_response(http::status::ok, encode_job_state(*state))
                     : make_response(http::status::not_found);
    }
    if (target.starts_with(peer_queue_path)) {
        const queue_id queue{std::string{target.substr(peer_queue_path.size())}};
        const auto counted = own->pending(queue);
        return counted ? make_response(http::status::ok, encode_pending(*counted))
                       : make_response(http::status::service_unavailable);
    }
    return make_response(http::status::not_found);
}

auto client_api::handle_peer(http_exchange& exchange) -> asio::awaitable<void>
{
    if (const auto own = *m_dependencies.m_decider; own != nullptr) {
        const bool handled = co_await own->handle_relay(exchange);
        if (handled) {
            co_return;
        }
    }
    auto response = make_peer_response(to_view(exchange.request().target()));
    co_await exchange.respond(std::move(response));
}

} // namespace cicadalug
