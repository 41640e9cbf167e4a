#ifndef CICADALUG_ENTRY_DECIDER_ELECTION_HPP
#define CICADALUG_ENTRY_DECIDER_ELECTION_HPP

#include <cicadalug/adapter/store_client.hpp>
#include <cicadalug/base/ids.hpp>
#include <cicadalug/scheduler/candidacy.hpp>
#include <cicadalug/scheduler/ids.hpp>

#include <functional>
#include <optional>
#include <string>

namespace cicadalug {

/** @brief Entry VM that is the decider according to the store. */
struct decider_holder {
    entry_vm_id m_entry_vm;
    /** @brief Address for other entry VMs. */
    tcp_endpoint m_peers;
    store_revision m_revision;
    /** @brief Its CPU capacity in cores; entry VMs of earlier versions do not state it. */
    std::optional<double> m_cores;
};

/** @brief One term as the decider. */
struct decider_term {
    fencing_token m_token;
    /** @brief Revision of the holder's key; a condition of every write of the term. */
    store_revision m_revision;
    /** @brief A time before the holder's key was written. */
    time_point m_candidate_since{};
};

/**
 * @brief Takes part in the election of the decider, through a key with a lease in the store. A decider without
 * sufficient_cores hands its term to an entry VM that has them and requests it.
 * @note Thread safety: all functions on the executor given to the constructor.
 */
class decider_election {
public:
    using begin_function = std::function<void(const decider_term&)>;
    using end_function = std::function<void()>;
    using flush_function = std::function<asio::awaitable<void>()>;

    /**
     * @brief Constructs a candidate; start() runs it.
     * @param executor Runs the candidate.
     * @param store Client of the store; must outlive the candidate.
     * @param self This entry VM.
     * @param peers Its address for other entry VMs.
     * @param lease Duration of the lease of the holder's key.
     * @param cores CPU capacity of this entry VM, in cores; a candidate with little of it lets others go first.
     */
    decider_election(asio::any_io_executor executor, store_client& store, entry_vm_id self, const tcp_endpoint& peers,
                     milliseconds lease, double cores);

    /**
     * @brief Starts the candidate.
     * @param begin Called when a term begins.
     * @param end Called when a term has ended.
     * @param flush Called before a term is handed over; stores the progress of the term within a bounded time.
     */
    auto start(begin_function begin, end_function end, flush_function flush) -> void;

    /** @brief Ends the term, if there is one, and stands in no further election. */
    [[nodiscard]] auto resign() -> asio::awaitable<void>;

    /** @brief Ends the term because another decider has begun, or because this one cannot decide; another entry VM goes
     * first in the next election. */
    auto depose() -> void;

    /** @brief Returns the last known holder, or nothing if there is none. */
    [[nodiscard]] auto holder() const noexcept -> const std::optional<decider_holder>& { return m_holder; }

    /** @brief Returns when the last successful renewal of the holder's lease was sent. */
    [[nodiscard]] auto last_renewal() const noexcept -> time_point { return m_last_renewal; }

    /** @brief Checks whether this entry VM is the decider. */
    [[nodiscard]] auto is_decider() const noexcept -> bool { return m_term.has_value(); }

private:
    [[nodiscard]] auto run() -> asio::awaitable<void>;
    [[nodiscard]] auto refresh() -> asio::awaitable<bool>;
    [[nodiscard]] auto refresh_until_read() -> asio::awaitable<void>;
    [[nodiscard]] auto campaign() -> asio::awaitable<void>;
    [[nodiscard]] auto watch_election() -> asio::awaitable<void>;
    [[nodiscard]] auto request_term() -> asio::awaitable<void>;
    [[nodiscard]] auto hand_over_term() -> asio::awaitable<void>;
    [[nodiscard]] auto release_term() -> asio::awaitable<void>;
    [[nodiscard]] auto keep_lease_alive(store_lease lease) -> asio::awaitable<void>;
    [[nodiscard]] auto view() const -> election_view;
    auto update_holder(const std::optional<store_item>& item) -> void;
    auto update_request(const std::optional<store_item>& item) -> void;
    auto end_term() -> void;

    asio::any_io_executor m_executor;
    store_client& m_store;
    entry_vm_id m_self;
    tcp_endpoint m_peers;
    milliseconds m_lease_time;
    double m_cores;
    begin_function m_begin;
    end_function m_end;
    flush_function m_flush;
    std::optional<decider_holder> m_holder;
    std::optional<term_request> m_request;
    std::optional<decider_term> m_term;
    store_lease m_lease{no_store_lease};
    /** @brief Lease of this entry VM's last request for the term. */
    store_lease m_request_lease{no_store_lease};
    /** @brief When the request that opened the lease was sent. */
    time_point m_lease_opened{};
    store_revision m_seen_revision;
    time_point m_last_renewal{};
    time_point m_campaign_from{};
    time_point m_request_from{};
    bool m_resigned{false};
};

} // namespace cicadalug

#endif
