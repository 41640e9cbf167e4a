#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/decider_election.hpp>
#include <cicadalug/entry/signal_event.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/scheduler/candidacy.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace cicadalug {

namespace {

/** @brief A watch is requested again after this time; bounds how long an unresponsive connection goes unnoticed. */
constexpr milliseconds watch_wait{1'500};

/** @brief Timeout of a read or a write of the holder's key; a store that is 60 times slower than usual still responds
 * within it. */
constexpr milliseconds call_timeout{500};

/** @brief Candidates begin at different times within this span, so that few of them collide. */
constexpr milliseconds campaign_spread{60};

/** @brief Delay after a failed call. */
constexpr milliseconds failure_pause{100};

/** @brief Number of renewals within the duration of the lease. */
constexpr int renewals_per_lease{4};

/** @brief A decider that cannot renew its lease continues for at most this time: the store has outages of 4 to 6 s,
 * during which running tasks still need their leases. */
constexpr milliseconds unrenewed_limit{8'000};

[[nodiscard]] auto holder_value(const entry_vm_id& self, const tcp_endpoint& peers, const store_lease lease)
    -> std::string
{
    std::ostringstream text;
    text << self << ' ' << peers << ' ' << lease;
    return std::move(text).str();
}

} // namespace

decider_election::decider_election(asio::any_io_executor executor, store_client& store, entry_vm_id self,
                                   const tcp_endpoint& peers, const milliseconds lease, const double cores)
    : m_executor{std::move(executor)}, m_store{store}, m_self{std::move(self)}, m_peers{peers},
      m_lease_time{lease}, m_delay{candidate_delay(cores)}
{
}

auto decider_election::update_holder(const std::optional<store_item>& item) -> void
{
    const auto before = m_holder ? m_holder->m_revision : store_revision{0};
    if (!item) {
        m_holder.reset();
    }
    else {
        decider_holder holder;
        std::istringstream text{item->m_value};
        std::string name;
        std::string address;
        text >> name >> address;
        findings found;
        holder.m_entry_vm = entry_vm_id{name};
        holder.m_peers = parse_endpoint(address, std::string{holder_key}, found);
        holder.m_revision = item->m_revision;
        if (!found.empty()) {
            LOG(ERROR) << log_line{"holder_unreadable"}.with("findings", found.to_string());
        }
        m_holder = holder;
    }
    const auto now = m_holder ? m_holder->m_revision : store_revision{0};
    if (now != before) {
        LOG(INFO) << log_line{"decider_changed"}
                         .with("decider", m_holder ? m_holder->m_entry_vm.str() : "none")
                         .with("revision", now);
    }
    if (m_term && m_term->m_revision != now) {
        end_term();
    }
}

auto decider_election::refresh() -> asio::awaitable<bool>
{
    const auto page = co_await m_store.list(std::string{holder_key}, std::string{}, call_timeout);
    if (page.m_status != store_status::ok) {
        co_return false;
    }
    m_seen_revision = page.m_revision;
    update_holder(page.m_items.empty() ? std::nullopt : std::optional{page.m_items.front()});
    co_return true;
}

auto decider_election::refresh_until_read() -> asio::awaitable<void>
{
    bool read{false};
    while (!read) {
        read = co_await refresh();
        if (!read) {
            co_await sleep_for(m_executor, failure_pause);
        }
    }
}

auto decider_election::watch_holder() -> asio::awaitable<void>
{
    const auto changes = co_await m_store.watch(std::string{holder_key}, m_seen_revision, watch_wait);
    if (changes.m_status != store_status::ok) {
        co_await sleep_for(m_executor, failure_pause);
        co_await refresh_until_read();
        co_return;
    }
    m_seen_revision = std::max(m_seen_revision, changes.m_revision);
    for (const auto& change : changes.m_changes) {
        update_holder(change.m_value ? std::optional{store_item{change.m_key, *change.m_value, change.m_revision}}
                                     : std::nullopt);
    }
}

auto decider_election::campaign() -> asio::awaitable<void>
{
    const auto seed = std::hash<std::string>{}(m_self.str()) + m_seen_revision.value();
    const auto pause = m_delay + milliseconds{seed % static_cast<std::size_t>(campaign_spread.count())};
    co_await sleep_for(m_executor, pause);
    if (m_lease == no_store_lease) {
        m_lease = co_await m_store.open_lease(m_lease_time, call_timeout);
    }
    if (m_lease == no_store_lease) {
        co_await sleep_for(m_executor, failure_pause);
        co_return;
    }
    const auto value = holder_value(m_self, m_peers, m_lease);
    const auto sent = monotonic_now();
    store_write write;
    write.m_conditions.push_back({std::string{holder_key}, store_revision{0}});
    write.m_puts.push_back({std::string{holder_key}, value, m_lease});
    const auto written = co_await m_store.write(std::move(write), call_timeout);
    auto revision = written.m_status == store_status::ok ? written.m_revision : store_revision{0};
    if (written.m_status == store_status::conflict) {
        for (const auto& item : written.m_current) {
            // A write whose response was lost may have been applied; the key then holds this candidate's lease.
            if (item.m_value == value) {
                revision = item.m_revision;
            }
        }
    }
    if (revision == store_revision{0} || m_resigned) {
        if (written.m_status != store_status::unknown) {
            static_cast<void>(co_await m_store.end_lease(std::exchange(m_lease, no_store_lease), call_timeout));
        }
        co_await sleep_for(m_executor, failure_pause);
        co_await refresh_until_read();
        co_return;
    }
    m_term = decider_term{fencing_token{revision.value()}, revision};
    m_holder = decider_holder{m_self, m_peers, revision};
    m_seen_revision = std::max(m_seen_revision, revision);
    m_last_renewal = sent;
    LOG(INFO) << log_line{"term_began"}.with("token", m_term->m_token);
    asio::co_spawn(m_executor, keep_lease_alive(m_lease), asio::detached);
    m_begin(*m_term);
}

auto decider_election::keep_lease_alive(const store_lease lease) -> asio::awaitable<void>
{
    const auto interval = m_lease_time / renewals_per_lease;
    while (m_term && m_lease == lease) {
        co_await sleep_for(m_executor, interval);
        if (!m_term || m_lease != lease) {
            co_return;
        }
        const auto sent = monotonic_now();
        const auto status = co_await m_store.renew_lease(lease, call_timeout);
        if (status == store_status::ok) {
            m_last_renewal = sent;
        }
        else if (status == store_status::missing) {
            LOG(WARNING) << log_line{"decider_lease_lost"}.with("lease", lease);
            if (m_lease == lease) {
                end_term();
            }
            co_return;
        }
        else if (monotonic_now() - m_last_renewal > unrenewed_limit && m_lease == lease) {
            LOG(WARNING) << log_line{"decider_lease_not_renewed"}.with("lease", lease);
            end_term();
        }
    }
}

auto decider_election::end_term() -> void
{
    if (m_term) {
        LOG(INFO) << log_line{"term_ended"}.with("token", m_term->m_token);
        m_term.reset();
        m_lease = no_store_lease;
        m_end();
    }
}

auto decider_election::depose() -> void
{
    end_term();
}

auto decider_election::resign() -> asio::awaitable<void>
{
    m_resigned = true;
    const auto lease = m_lease;
    end_term();
    if (lease != no_store_lease) {
        static_cast<void>(co_await m_store.end_lease(lease, call_timeout));
    }
}

auto decider_election::start(begin_function begin, end_function end) -> void
{
    m_begin = std::move(begin);
    m_end = std::move(end);
    asio::co_spawn(m_executor, run(), asio::detached);
}

auto decider_election::run() -> asio::awaitable<void>
{
    co_await refresh_until_read();
    for (;;) {
        if (!m_holder && !m_resigned) {
            co_await campaign();
        }
        else {
            co_await watch_holder();
        }
    }
}

} // namespace cicadalug
