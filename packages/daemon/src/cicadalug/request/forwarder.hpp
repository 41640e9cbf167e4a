#ifndef CICADALUG_REQUEST_FORWARDER_HPP
#define CICADALUG_REQUEST_FORWARDER_HPP

#include <cicadalug/http/http_server.hpp>

#include <atomic>
#include <cstddef>
#include <vector>

namespace cicadalug {

/**
 * @brief Forwards each request of a caller to the next upstream in turn.
 * @note Thread safety: all functions can be called concurrently.
 */
class forwarder {
public:
    /**
     * @brief Constructs a forwarder.
     * @param upstreams Addresses of all upstreams.
     */
    explicit forwarder(std::vector<tcp_endpoint> upstreams);

    /**
     * @brief Answers one request with the answer of an upstream, or with the outcome if there is none.
     * @param exchange The request of the caller.
     */
    [[nodiscard]] auto handle(http_exchange& exchange) -> asio::awaitable<void>;

private:
    std::vector<tcp_endpoint> m_upstreams;
    std::atomic<std::size_t> m_next{0};
};

} // namespace cicadalug

#endif
