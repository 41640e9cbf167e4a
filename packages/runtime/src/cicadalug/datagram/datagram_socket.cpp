#include <cicadalug/datagram/datagram_socket.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <mutex>
#include <utility>

namespace cicadalug {

namespace asio = boost::asio;

class datagram_socket::state {
public:
    state(const asio::any_io_executor& executor, entry_vm_id self, const incarnation own_incarnation,
          std::map<entry_vm_id, udp_endpoint> peers, handler receive)
        : m_socket{executor}, m_self{std::move(self)},
          m_incarnation{own_incarnation}, m_peers{std::move(peers)}, m_receive{std::move(receive)}
    {
    }

    template<typename Function>
    auto count(const Function function) -> void
    {
        const std::lock_guard lock{m_mutex};
        function(m_counts);
    }

    auto handle_datagram(const std::string_view bytes, const udp_endpoint& from) -> void
    {
        count([&](auto& counts) {
            ++counts.m_received;
            counts.m_received_bytes += bytes.size();
        });
        const auto message = decode(bytes);
        if (!message) {
            count([](auto& counts) { ++counts.m_malformed; });
            return;
        }
        const auto peer = m_peers.find(message->m_sender);
        if (peer == m_peers.end() || peer->second != from) {
            count([](auto& counts) { ++counts.m_unknown_sender; });
            return;
        }
        m_receive(*message);
    }

    asio::ip::udp::socket m_socket;
    const entry_vm_id m_self;
    const incarnation m_incarnation;
    const std::map<entry_vm_id, udp_endpoint> m_peers;
    handler m_receive;
    /** @brief Guards m_counts only; no other lock is acquired while it is held. */
    mutable std::mutex m_mutex;
    datagram_counts m_counts;
};

namespace {

[[nodiscard]] auto receive_all(std::shared_ptr<datagram_socket::state> self) -> asio::awaitable<void>
{
    // One byte more than the limit: a truncated oversized datagram then exceeds max_datagram and decode() rejects it.
    std::array<char, max_datagram + 1> buffer{};
    while (self->m_socket.is_open()) {
        udp_endpoint from;
        boost::system::error_code error;
        const auto size = co_await self->m_socket.async_receive_from(asio::buffer(buffer), from,
                                                                     asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        // Any other error was caused by an earlier send to a closed port; receiving continues.
        if (!error) {
            self->handle_datagram({buffer.data(), size}, from);
        }
    }
}

} // namespace

datagram_socket::datagram_socket(const asio::any_io_executor& executor, const udp_endpoint& local, entry_vm_id self,
                                 const incarnation own_incarnation, std::map<entry_vm_id, udp_endpoint> peers,
                                 handler receive)
    : m_state{std::make_shared<state>(executor, std::move(self), own_incarnation, std::move(peers), std::move(receive))}
{
    m_state->m_socket.open(local.protocol());
    m_state->m_socket.bind(local);
    m_state->m_socket.non_blocking(true);
    asio::co_spawn(executor, receive_all(m_state), asio::detached);
}

datagram_socket::~datagram_socket()
{
    asio::dispatch(m_state->m_socket.get_executor(), [self = m_state] {
        boost::system::error_code ignored;
        self->m_socket.close(ignored);
    });
}

auto datagram_socket::send(const entry_vm_id& to, datagram_body body) -> void
{
    const auto peer = m_state->m_peers.find(to);
    const auto bytes = encode({m_state->m_self, m_state->m_incarnation, std::move(body)});
    if (peer == m_state->m_peers.end() || !bytes) {
        m_state->count([](auto& counts) { ++counts.m_not_sent; });
        return;
    }
    asio::dispatch(m_state->m_socket.get_executor(), [self = m_state, bytes = *bytes, target = peer->second] {
        boost::system::error_code error;
        self->m_socket.send_to(asio::buffer(bytes), target, 0, error);
        self->count([&](auto& counts) {
            ++(error ? counts.m_not_sent : counts.m_sent);
            counts.m_sent_bytes += error ? 0 : bytes.size();
        });
    });
}

auto datagram_socket::counts() const -> datagram_counts
{
    const std::lock_guard lock{m_state->m_mutex};
    return m_state->m_counts;
}

} // namespace cicadalug
