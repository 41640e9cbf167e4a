#ifndef CICADALUG_DATAGRAM_DATAGRAM_SOCKET_HPP
#define CICADALUG_DATAGRAM_DATAGRAM_SOCKET_HPP

#include <cicadalug/datagram/datagram.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace cicadalug {

using udp_endpoint = boost::asio::ip::udp::endpoint;

/** @brief Counters of a datagram socket since its construction. */
struct datagram_counts {
    std::uint64_t m_received{0};
    std::uint64_t m_received_bytes{0};
    std::uint64_t m_sent{0};
    std::uint64_t m_sent_bytes{0};
    /** @brief Received from an unknown address, or from an entry VM that states the id of another one as sender. */
    std::uint64_t m_unknown_sender{0};
    std::uint64_t m_malformed{0};
    /** @brief Not sent: larger than max_datagram, addressed to an unknown entry VM, or rejected by the operating
     * system. */
    std::uint64_t m_not_sent{0};
};

/** @brief Sends and receives datagrams between entry VMs. */
class datagram_socket {
public:
    using handler = std::function<void(const datagram&)>;

    /**
     * @brief Opens the socket and starts receiving.
     * @param executor Executor of the socket and the handler; a strand if the context runs on several threads.
     * @param local Address and port to listen on.
     * @param self Id of this entry VM, the sender of all datagrams sent.
     * @param own_incarnation Incarnation stated in all datagrams sent.
     * @param peers Addresses of the other entry VMs.
     * @param receive Called for each datagram from a peer.
     * @throws boost::system::system_error if the address is not available.
     */
    datagram_socket(const boost::asio::any_io_executor& executor, const udp_endpoint& local, entry_vm_id self,
                    incarnation own_incarnation, std::map<entry_vm_id, udp_endpoint> peers, handler receive);
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&&) = delete;
    auto operator=(const datagram_socket&) -> datagram_socket& = delete;
    auto operator=(datagram_socket&&) -> datagram_socket& = delete;

    /** @brief Closes the socket. The handler is no longer called once the executor has run the pending work. */
    ~datagram_socket();

    /**
     * @brief Sends a message without waiting. The message may be lost.
     * @param to Receiver.
     * @param body Message.
     * @note Thread safety: can be called concurrently.
     */
    auto send(const entry_vm_id& to, datagram_body body) -> void;

    /** @brief Returns the counters. @note Thread safety: can be called concurrently. */
    [[nodiscard]] auto counts() const -> datagram_counts;

    /** @brief Socket, peers and counters, shared with the receiving coroutine. */
    class state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace cicadalug

#endif
