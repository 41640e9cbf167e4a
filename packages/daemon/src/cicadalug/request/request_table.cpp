#include <cicadalug/request/request_table.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace cicadalug {

namespace {

[[nodiscard]] auto may_have_run(const pending_request& pending) noexcept -> bool
{
    return pending.m_maybe_ran || pending.m_running_attempts > 0;
}

auto deliver_outcome(std::shared_ptr<pending_request> pending, request_outcome outcome) -> void
{
    const auto executor = pending->m_outcome_signal.get_executor();
    asio::post(executor, [pending = std::move(pending), outcome = std::move(outcome)]() mutable {
        pending->m_outcome = std::move(outcome);
        pending->m_outcome_signal.cancel();
    });
}

} // namespace

auto request_table::add(std::shared_ptr<pending_request> pending) -> void
{
    const std::lock_guard lock{m_mutex};
    const auto& id = pending->m_routing.m_id;
    m_requests.emplace(id, std::move(pending));
}

auto request_table::begin_attempt(const request_id& id, const vm_id& vm) -> std::shared_ptr<pending_request>
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return nullptr;
    }
    found->second->m_started = true;
    ++found->second->m_running_attempts;
    found->second->m_vm = vm;
    return found->second;
}

auto request_table::end_attempt(pending_request& pending, const attempt_outcome outcome) -> void
{
    const std::lock_guard lock{m_mutex};
    --pending.m_running_attempts;
    pending.m_maybe_ran = pending.m_maybe_ran || !is_not_run(outcome);
}

auto request_table::finish(const request_id& id, request_outcome outcome) -> bool
{
    std::unique_lock lock{m_mutex};
    auto node = m_requests.extract(id);
    if (node.empty()) {
        return false;
    }
    if (outcome.m_kind == outcome_kind::not_run && may_have_run(*node.mapped())) {
        outcome.m_kind = outcome_kind::unknown;
        outcome.m_reason = outcome_reason::no_response;
    }
    lock.unlock();
    deliver_outcome(std::move(node.mapped()), std::move(outcome));
    return true;
}

auto request_table::abandon(const request_id& id, const bool keep_started) -> bool
{
    std::unique_lock lock{m_mutex};
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || (keep_started && found->second->m_started)) {
        return false;
    }
    auto pending = std::move(found->second);
    m_requests.erase(found);
    request_outcome outcome;
    outcome.m_kind = may_have_run(*pending) ? outcome_kind::unknown : outcome_kind::not_run;
    outcome.m_detail = "the caller closed the connection";
    outcome.m_caller_disconnected = true;
    lock.unlock();
    deliver_outcome(std::move(pending), std::move(outcome));
    return true;
}

auto request_table::contains(const request_id& id) const -> bool
{
    const std::lock_guard lock{m_mutex};
    return m_requests.contains(id);
}

auto request_table::running_vm(const pending_request& pending) const -> vm_id
{
    const std::lock_guard lock{m_mutex};
    return pending.m_running_attempts > 0 ? pending.m_vm : vm_id{};
}

auto request_table::size() const -> std::size_t
{
    const std::lock_guard lock{m_mutex};
    return m_requests.size();
}

} // namespace cicadalug
