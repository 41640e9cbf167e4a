#ifndef CICADALUG_REQUEST_STANDALONE_HPP
#define CICADALUG_REQUEST_STANDALONE_HPP

#include <cicadalug/base/result.hpp>

#include <string>
#include <vector>

namespace cicadalug {

/** @brief Options of an entry VM whose fleet is fixed when it starts. */
struct standalone_options {
    std::string m_listen{"127.0.0.1:8080"};
    std::string m_id{"entry-1"};
    std::string m_availability_zone{"zone-1"};
    /** @brief Addresses and ports of upstreams. */
    std::vector<std::string> m_upstreams;
    std::vector<std::string> m_services{"quotes"};
    /** @brief Other entry VMs of the zone, as id=address:port. */
    std::vector<std::string> m_peers;
    /** @brief Slots of each upstream. */
    int m_slots{8};
    int m_threads{2};
    /** @brief Time between the failing of /readyz and the end of listening, in ms. */
    int m_drain_delay_ms{0};
};

/**
 * @brief Runs the request path alone, without platform and replication, until SIGTERM. Used to test the request path.
 * @param options The options.
 * @return Findings if the options are not valid, or the exit code.
 */
[[nodiscard]] auto run_standalone(const standalone_options& options) -> result<int>;

} // namespace cicadalug

#endif
