#include <cicadalug/scheduler/queue_config.hpp>

namespace cicadalug {

auto find_queue(const fleet_config& config, const std::string_view host, const std::string_view path)
    -> const queue_config*
{
    const queue_config* best{nullptr};
    for (const auto& queue : config.m_queues) {
        if (queue.m_host == host && path.substr(0, queue.m_prefix.size()) == queue.m_prefix &&
            (best == nullptr || queue.m_prefix.size() > best->m_prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

} // namespace cicadalug
