#include <cicadalug/datagram/datagram_socket.hpp>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace {

using namespace cicadalug;
namespace asio = boost::asio;

/** @brief Binds and releases a port, so that two sockets can be given each other's address before they open. */
[[nodiscard]] auto free_endpoint(asio::io_context& context) -> udp_endpoint
{
    const asio::ip::udp::socket socket{context, {asio::ip::address_v4::loopback(), 0}};
    return socket.local_endpoint();
}

// Guards against processing a datagram from an unknown address, or from an entry VM that uses the id of another one.
TEST(datagram_socket, drops_and_counts_unknown_senders_and_malformed_datagrams)
{
    asio::io_context context;
    const auto first = free_endpoint(context);
    const auto second = free_endpoint(context);
    int delivered = 0;
    datagram_socket receiver{context.get_executor(),
                             first,
                             entry_vm_id{"e1"},
                             incarnation{1},
                             {{entry_vm_id{"e2"}, second}},
                             [&](const auto&) {
                                 ++delivered;
                             }};
    datagram_socket peer{context.get_executor(),
                         second,
                         entry_vm_id{"e2"},
                         incarnation{1},
                         {{entry_vm_id{"e1"}, first}},
                         [](const auto&) {
                         }};
    datagram_socket unknown_sender{context.get_executor(),
                                   free_endpoint(context),
                                   entry_vm_id{"e2"},
                                   incarnation{9},
                                   {{entry_vm_id{"e1"}, first}},
                                   [](const auto&) {
                                   }};
    asio::ip::udp::socket raw{context, {asio::ip::address_v4::loopback(), 0}};
    peer.send(entry_vm_id{"e1"}, drain_report{});
    unknown_sender.send(entry_vm_id{"e1"}, drain_report{});
    raw.send_to(asio::buffer("garbage", 7), first);
    context.run_for(std::chrono::milliseconds{200});
    EXPECT_EQ(delivered, 1);
    EXPECT_EQ(receiver.counts().m_received, 3U);
    EXPECT_EQ(receiver.counts().m_unknown_sender, 1U);
    EXPECT_EQ(receiver.counts().m_malformed, 1U);
}

} // namespace
