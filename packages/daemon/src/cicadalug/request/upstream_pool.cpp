#include <cicadalug/request/upstream_pool.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

[[nodiscard]] auto time_left(const std::chrono::steady_clock::time_point deadline) -> milliseconds
{
    const auto remaining = std::chrono::ceil<milliseconds>(deadline - std::chrono::steady_clock::now());
    return std::max(remaining, milliseconds{0});
}

/** @brief Converts a response that carries the id of another request into a failure. */
[[nodiscard]] auto check_id(const http_request& request, result<http_response, http_failure> response)
    -> result<http_response, http_failure>
{
    if (response) {
        const auto response_id = response.assume_value()["X-Request-Id"];
        if (!response_id.empty() && response_id != request["X-Request-Id"]) {
            return http_failure{http_progress::maybe_sent, false,
                                "the answer is for request " + std::string{response_id.data(), response_id.size()}};
        }
    }
    return response;
}

[[nodiscard]] auto deadline_passed() -> http_failure
{
    return {http_progress::not_sent, true, "the deadline passed before the request was sent"};
}

} // namespace

upstream_pool::upstream_pool(asio::io_context& context, const upstream_pool_limits& limits)
    : m_context{context}, m_limits{limits}
{
}

auto upstream_pool::apply_view(const fleet_view& view) -> void
{
    std::vector<idle_connection> closed;
    const std::lock_guard lock{m_mutex};
    for (auto& [vm, connections] : m_vms) {
        if (!view.m_vms.contains(vm)) {
            connections.m_limit = 0;
        }
    }
    for (const auto& [vm, record] : view.m_vms) {
        auto& connections = m_vms[vm];
        findings ignored;
        const auto endpoint = parse_endpoint(record.m_address, vm.str(), ignored);
        connections.m_limit = ignored.empty() ? static_cast<std::size_t>(std::max(record.m_connections, 0)) : 0;
        if (connections.m_endpoint != endpoint) {
            connections.m_endpoint = endpoint;
            ++connections.m_generation;
            std::move(connections.m_idle.begin(), connections.m_idle.end(), std::back_inserter(closed));
            connections.m_idle.clear();
        }
    }
    std::erase_if(m_vms, [](const auto& entry) { return entry.second.m_limit == 0 && entry.second.m_in_use == 0; });
}

auto upstream_pool::acquire(const vm_id& vm) -> std::optional<lease>
{
    std::vector<idle_connection> closed;
    const std::lock_guard lock{m_mutex};
    const auto found = m_vms.find(vm);
    if (found == m_vms.end()) {
        return std::nullopt;
    }
    auto& connections = found->second;
    const auto oldest = clock::now() - m_limits.m_max_idle_time;
    while (!connections.m_idle.empty()) {
        auto idle = std::move(connections.m_idle.back());
        connections.m_idle.pop_back();
        if (idle.m_idle_since < oldest || !idle.m_connection->reusable()) {
            closed.push_back(std::move(idle));
            continue;
        }
        ++connections.m_in_use;
        return lease{vm, connections.m_endpoint, connections.m_generation, std::move(idle.m_strand),
                     std::move(idle.m_connection)};
    }
    if (connections.m_in_use >= connections.m_limit) {
        return std::nullopt;
    }
    ++connections.m_in_use;
    return lease{vm, connections.m_endpoint, connections.m_generation, asio::make_strand(m_context), nullptr};
}

auto upstream_pool::exchange(lease leased, http_request request, const milliseconds timeout)
    -> asio::awaitable<result<http_response, http_failure>>
{
    auto read = co_await exchange_on(leased, request, clock::now() + timeout);
    auto response = check_id(request, std::move(read));
    const auto failed = !response;
    if (failed && leased.m_connection) {
        leased.m_connection->close();
    }
    release(leased, failed && response.assume_error().m_timed_out &&
                        response.assume_error().m_progress == http_progress::maybe_sent);
    co_return std::move(response);
}

auto upstream_pool::exchange_on(lease& leased, const http_request& request, const clock::time_point deadline)
    -> asio::awaitable<result<http_response, http_failure>>
{
    if (time_left(deadline) == milliseconds{0}) {
        co_return deadline_passed();
    }
    if (leased.m_connection && leased.m_connection->reusable()) {
        auto response = co_await leased.m_connection->exchange(request, time_left(deadline));
        if (response || response.assume_error().m_progress != http_progress::not_sent) {
            co_return std::move(response);
        }
    }
    const auto started = clock::now();
    auto connected = co_await http_connection::connect(leased.m_strand, leased.m_endpoint,
                                                       std::min(m_limits.m_connect_timeout, time_left(deadline)));
    if (!connected) {
        co_return std::move(connected).assume_error();
    }
    leased.m_connection = std::move(connected).assume_value();
    // After a pause of the process during the connect, the view may be stale, so nothing must be sent.
    if (time_left(deadline) == milliseconds{0} || clock::now() - started > m_limits.m_connect_timeout) {
        co_return deadline_passed();
    }
    co_return co_await leased.m_connection->exchange(request, time_left(deadline));
}

auto upstream_pool::release(lease& leased, const bool suspect) -> void
{
    std::vector<idle_connection> closed;
    const std::lock_guard lock{m_mutex};
    const auto found = m_vms.find(leased.m_vm);
    if (found == m_vms.end()) {
        return;
    }
    auto& connections = found->second;
    --connections.m_in_use;
    if (suspect) {
        // Open connections can become unresponsive together while new ones work, so none of them is used again.
        ++connections.m_generation;
        closed.swap(connections.m_idle);
    }
    if (leased.m_connection && leased.m_generation == connections.m_generation && connections.m_limit > 0 &&
        leased.m_connection->reusable()) {
        connections.m_idle.push_back({std::move(leased.m_connection), leased.m_strand, clock::now()});
    }
}

auto upstream_pool::retire_connections(const vm_id& vm) -> void
{
    std::vector<idle_connection> closed;
    const std::lock_guard lock{m_mutex};
    if (const auto found = m_vms.find(vm); found != m_vms.end()) {
        ++found->second.m_generation;
        closed.swap(found->second.m_idle);
    }
}

auto upstream_pool::close_expired() -> void
{
    std::vector<idle_connection> closed;
    const std::lock_guard lock{m_mutex};
    const auto oldest = clock::now() - m_limits.m_max_idle_time;
    for (auto& [vm, connections] : m_vms) {
        auto& idle = connections.m_idle;
        const auto is_removed = connections.m_limit == 0;
        const auto first_kept = std::stable_partition(idle.begin(), idle.end(), [&](const idle_connection& entry) {
            return is_removed || entry.m_idle_since < oldest;
        });
        std::move(idle.begin(), first_kept, std::back_inserter(closed));
        idle.erase(idle.begin(), first_kept);
    }
    std::erase_if(m_vms, [](const auto& entry) { return entry.second.m_limit == 0 && entry.second.m_in_use == 0; });
}

auto upstream_pool::open_connections(const vm_id& vm) const -> std::size_t
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_vms.find(vm);
    return found == m_vms.end() ? 0 : found->second.m_in_use + found->second.m_idle.size();
}

} // namespace cicadalug
