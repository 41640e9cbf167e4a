#include <cicadalug/scheduler/queue_config.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against assigning a request to a queue with a shorter prefix or of another host.
TEST(queue_config, the_longest_prefix_of_the_host_selects_the_queue)
{
    fleet_config config;
    config.m_queues.resize(3);
    config.m_queues[0].m_host = "a.example";
    config.m_queues[0].m_prefix = "/jobs/";
    config.m_queues[1].m_host = "a.example";
    config.m_queues[1].m_prefix = "/jobs/fast/";
    config.m_queues[2].m_host = "b.example";
    config.m_queues[2].m_prefix = "/jobs/fast/er/";
    EXPECT_EQ(find_queue(config, "a.example", "/jobs/fast/er/1"), &config.m_queues[1]);
    EXPECT_EQ(find_queue(config, "a.example", "/jobs/1"), &config.m_queues[0]);
    EXPECT_EQ(find_queue(config, "c.example", "/jobs/1"), nullptr);
}

} // namespace cicadalug::test
