#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/async/retry_backoff.hpp>
#include <cicadalug/async/spawn.hpp>
#include <cicadalug/entry/decider_election.hpp>
#include <cicadalug/entry/signal_event.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/telemetry/log_line.hpp>

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

/** @brief Longest pause after any number of failed reads of the election. */
constexpr milliseconds longest_failure_pause{800};

/** @brief Number of renewals within the duration of the lease. */
constexpr int renewals_per_lease{4};

/** @brief A decider that cannot renew its lease continues for at most this time: the store has outages of 4 to 6 s,
 * during which running tasks still need their leases. */
constexpr milliseconds unrenewed_limit{8'000};

[[nodiscard]] auto holder_value(const entry_vm_id& self, const tcp_endpoint& peers, const store_lease lease,
                                const double cores) -> std::string
{
    std::ostringstream text;
    text << self << ' ' << peers << ' ' << lease << ' ' << cores;
    return std::move(text).str();
}

[[nodiscard]] auto parse_holder(const store_item& item) -> decider_holder
{
    decider_holder holder;
    std::istringstream text{item.m_value};
    std::string name;
    std::string address;
    std::string lease;
    text >> name >> address >> lease;
    findings found;
    holder.m_entry_vm = entry_vm_id{name};
    holder.m_peers = parse_endpoint(address, std::string{holder_key}, found);
    holder.m_revision = item.m_revision;
    if (double cores{0.0}; text >> cores) {
        holder.m_cores = cores;
    }
    if (!found.empty()) {
        LOG(ERROR) << log_line{"holder_unreadable"}.with("findings", found.to_string());
    }
    return holder;
}

[[nodiscard]] auto request_value(const term_request& request) -> std::string
{
    std::ostringstream text;
    text << request.m_entry_vm << ' ' << request.m_cores << ' ' << request.m_holder;
    return std::move(text).str();
}

[[nodiscard]] auto parse_request(const store_item& item) -> term_request
{
    std::istringstream text{item.m_value};
    std::string name;
    double cores{0.0};
    std::uint64_t holder{0};
    if (!(text >> name >> cores >> holder)) {
        LOG(ERROR) << log_line{"term_request_unreadable"}.with("bytes", item.m_value.size());
        return {};
    }
    return {entry_vm_id{name}, cores, store_revision{holder}};
}

} // namespace

decider_election::decider_election(asio::any_io_executor executor, store_client& store, entry_vm_id self,
                                   const tcp_endpoint& peers, const milliseconds lease, const double cores)
    : m_executor{std::move(executor)}, m_store{store}, m_self{std::move(self)}, m_peers{peers},
      m_lease_time{lease}, m_cores{cores}
{
}

auto decider_election::update_holder(const std::optional<store_item>& item) -> void
{
    const auto before = m_holder ? m_holder->m_revision : store_revision{0};
    m_holder = item ? std::optional{parse_holder(*item)} : std::nullopt;
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

auto decider_election::update_request(const std::optional<store_item>& item) -> void
{
    m_request = item ? std::optional{parse_request(*item)} : std::nullopt;
}

auto decider_election::view() const -> election_view
{
    election_view view;
    view.m_self = m_self;
    view.m_cores = m_cores;
    if (m_holder) {
        view.m_holder = m_holder->m_revision;
        view.m_holder_cores = m_holder->m_cores;
    }
    view.m_request = m_request;
    view.m_has_term = is_decider();
    view.m_resigned = m_resigned;
    view.m_campaign_from = m_campaign_from;
    view.m_request_from = m_request_from;
    return view;
}

auto decider_election::refresh() -> asio::awaitable<bool>
{
    const auto page = co_await m_store.list(std::string{election_prefix}, std::string{}, call_timeout);
    if (page.m_status != store_status::ok) {
        co_return false;
    }
    m_seen_revision = page.m_revision;
    std::optional<store_item> holder;
    std::optional<store_item> request;
    for (const auto& item : page.m_items) {
        if (item.m_key == holder_key) {
            holder = item;
        }
        else if (item.m_key == term_request_key) {
            request = item;
        }
    }
    update_request(request);
    update_holder(holder);
    co_return true;
}

auto decider_election::refresh_until_read() -> asio::awaitable<void>
{
    retry_backoff backoff{m_self.str(), failure_pause, longest_failure_pause};
    bool read{false};
    while (!read) {
        read = co_await refresh();
        if (!read) {
            co_await sleep_for(m_executor, backoff.next_pause());
        }
    }
}

auto decider_election::watch_election() -> asio::awaitable<void>
{
    // A former holder stands in the election as soon as its pause is over.
    const auto pause = std::chrono::ceil<milliseconds>(m_campaign_from - monotonic_now());
    const auto wait = !m_holder && pause > milliseconds{0} ? std::min(watch_wait, pause) : watch_wait;
    const auto changes = co_await m_store.watch(std::string{election_prefix}, m_seen_revision, wait);
    if (changes.m_status != store_status::ok) {
        co_await sleep_for(m_executor, failure_pause);
        co_await refresh_until_read();
        co_return;
    }
    m_seen_revision = std::max(m_seen_revision, changes.m_revision);
    for (const auto& change : changes.m_changes) {
        const auto item =
            change.m_value ? std::optional{store_item{change.m_key, *change.m_value, change.m_revision}} : std::nullopt;
        if (change.m_key == holder_key) {
            update_holder(item);
        }
        else if (change.m_key == term_request_key) {
            update_request(item);
        }
    }
}

auto decider_election::request_term() -> asio::awaitable<void>
{
    m_request_from = monotonic_now() + term_request_lifetime;
    const term_request request{m_self, m_cores, m_holder->m_revision};
    // The lease is not renewed: a request without effect ends with it.
    const auto lease = co_await m_store.open_lease(std::max(term_request_lifetime, m_lease_time), call_timeout);
    if (lease == no_store_lease) {
        co_return;
    }
    store_write write;
    write.m_conditions.push_back({std::string{holder_key}, request.m_holder});
    write.m_conditions.push_back({std::string{term_request_key}, store_revision{0}});
    write.m_puts.push_back({std::string{term_request_key}, request_value(request), lease});
    const auto written = co_await m_store.write(std::move(write), call_timeout);
    if (written.m_status == store_status::ok) {
        m_request = request;
        m_request_lease = lease;
        LOG(INFO) << log_line{"term_requested"}.with("revision", request.m_holder).with("cores", m_cores);
    }
    else if (written.m_status != store_status::unknown) {
        static_cast<void>(co_await m_store.end_lease(lease, call_timeout));
    }
}

auto decider_election::release_term() -> asio::awaitable<void>
{
    const auto lease = m_lease;
    end_term();
    if (lease != no_store_lease) {
        static_cast<void>(co_await m_store.end_lease(lease, call_timeout));
    }
}

auto decider_election::hand_over_term() -> asio::awaitable<void>
{
    const auto token = m_term->m_token;
    LOG(INFO) << log_line{"term_handed_over"}
                     .with("token", token)
                     .with("cores", m_cores)
                     .with("successor", m_request->m_entry_vm)
                     .with("successor_cores", m_request->m_cores);
    co_await m_flush();
    if (m_term && m_term->m_token == token) {
        m_campaign_from = monotonic_now() + former_holder_pause;
        co_await release_term();
    }
}

auto decider_election::campaign() -> asio::awaitable<void>
{
    const auto seed = std::hash<std::string>{}(m_self.str()) + m_seen_revision.value();
    const milliseconds spread{seed % static_cast<std::size_t>(campaign_spread.count())};
    co_await sleep_for(m_executor, campaign_delay(view(), spread));
    if (m_lease == no_store_lease) {
        m_lease_opened = monotonic_now();
        m_lease = co_await m_store.open_lease(m_lease_time, call_timeout);
    }
    if (m_lease == no_store_lease) {
        co_await sleep_for(m_executor, failure_pause);
        co_return;
    }
    const auto value = holder_value(m_self, m_peers, m_lease, m_cores);
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
    m_term = decider_term{fencing_token{revision.value()}, revision, m_lease_opened};
    m_holder = decider_holder{m_self, m_peers, revision, m_cores};
    m_seen_revision = std::max(m_seen_revision, revision);
    // The write of the key does not renew its lease.
    m_last_renewal = m_lease_opened;
    LOG(INFO) << log_line{"term_began"}.with("token", m_term->m_token);
    spawn(m_executor, keep_lease_alive(m_lease), "keep_lease_alive");
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
    // Whatever has ended the term here, another entry VM should begin the next one.
    m_campaign_from = monotonic_now() + former_holder_pause;
    end_term();
}

auto decider_election::resign() -> asio::awaitable<void>
{
    m_resigned = true;
    co_await release_term();
    if (m_request_lease != no_store_lease) {
        static_cast<void>(co_await m_store.end_lease(m_request_lease, call_timeout));
    }
}

auto decider_election::start(begin_function begin, end_function end, flush_function flush) -> void
{
    m_begin = std::move(begin);
    m_end = std::move(end);
    m_flush = std::move(flush);
    spawn(m_executor, run(), "election");
}

auto decider_election::run() -> asio::awaitable<void>
{
    co_await refresh_until_read();
    for (;;) {
        switch (next_election_step(view(), monotonic_now())) {
        case election_step::campaign:
            co_await campaign();
            break;
        case election_step::request_term:
            co_await request_term();
            break;
        case election_step::hand_over_term:
            co_await hand_over_term();
            break;
        case election_step::watch:
            co_await watch_election();
            break;
        }
    }
}

} // namespace cicadalug
