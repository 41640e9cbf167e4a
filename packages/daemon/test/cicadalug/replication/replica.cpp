#include <cicadalug/replication/replica.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

[[nodiscard]] auto room(const std::uint64_t at, const int limit) -> versioned_entry
{
    return {"res/room/hall",
            {version{at},
             R"({"kind":"room","name":"hall","version":0,"spec":{"limit_watts":)" + std::to_string(limit) + "}}",
             false}};
}

// Guards against a view that shows an older value after a newer one, and against modifying a view after it was
// returned.
TEST(replica, view_follows_the_highest_version_and_old_views_are_unchanged)
{
    replica local_replica{availability_zone_id{"a"}};
    int calls = 0;
    local_replica.subscribe([&](const auto&, const auto&) { ++calls; });
    EXPECT_EQ(local_replica.merge({room(5, 100)}).size(), 1U);
    const auto old = local_replica.view();
    EXPECT_TRUE(local_replica.merge({room(4, 50)}).empty());
    EXPECT_EQ(local_replica.merge({room(6, 200)}).size(), 1U);
    EXPECT_EQ(calls, 2);
    EXPECT_EQ(old->m_rooms.at(room_id{"hall"}).m_limit, watts{100});
    EXPECT_EQ(local_replica.view()->m_rooms.at(room_id{"hall"}).m_limit, watts{200});
    EXPECT_EQ(local_replica.view()->m_version, version{6});
}

// Guards against storing VM records of other zones, which would fill the memory of an entry VM, and against a VM that
// stays in the view after it was removed from its shard.
TEST(replica, keeps_the_vm_records_of_its_zone)
{
    replica local_replica{availability_zone_id{"a"}};
    const versioned_entry own{
        "fleet/a/0",
        {version{1},
         R"({"epoch":1,"write_id":"w","vms":[{"vm":"v1","availability_zone":"a","rack":"r","room":"hall",
             "address":"127.0.0.1:1","slots":8,"connections":64,"pool":"p","phase":"serving","generation":0}]})",
         false}};
    auto other = own;
    other.m_key = "fleet/b/0";
    EXPECT_EQ(local_replica.merge({own, other}).size(), 1U);
    EXPECT_EQ(local_replica.view()->m_vms.size(), 1U);
    const versioned_entry emptied{"fleet/a/0", {version{2}, R"({"epoch":1,"write_id":"w","vms":[]})", false}};
    EXPECT_EQ(local_replica.merge({emptied}).size(), 1U);
    EXPECT_TRUE(local_replica.view()->m_vms.empty());
}

// Guards against a watcher that misses a change, or waits although there is one.
TEST(replica, changes_are_returned_in_the_order_of_arrival)
{
    replica local_replica{availability_zone_id{"a"}};
    local_replica.merge({room(5, 100)});
    const auto first = local_replica.changes_after(0);
    ASSERT_EQ(first.m_entries.size(), 1U);
    local_replica.merge({room(6, 100)});
    const auto second = local_replica.changes_after(first.m_sequence);
    ASSERT_EQ(second.m_entries.size(), 1U);
    EXPECT_EQ(second.m_entries.front().m_value.m_version, version{6});
    EXPECT_TRUE(local_replica.changes_after(second.m_sequence).m_entries.empty());
}

} // namespace
