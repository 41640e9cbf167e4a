#include <cicadalug/replication/versioned_map.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace cicadalug;

/** @brief Reference model of the store: the last write of each key, and the history of all writes. */
struct store_model {
    std::map<std::string, versioned_value> m_current;
    std::vector<versioned_entry> m_history;
};

struct replica_model {
    versioned_map m_map;
    /** @brief Highest version of each key seen since the last restart; a lower version later is a reversion. */
    std::map<std::string, version> m_seen_versions;
    int m_partition{0};
};

auto write(store_model& store) -> void
{
    const auto key = "res/k" + std::to_string(*rc::gen::inRange(0, 5));
    const version next{store.m_history.size() + 1};
    const auto deleted = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    versioned_value value{next, deleted ? std::string{} : "v" + std::to_string(next.value()), deleted};
    store.m_current[key] = value;
    store.m_history.push_back({key, value});
}

auto check(replica_model& replica, const store_model& store) -> void
{
    map_digest digest;
    for (const auto& [key, value] : replica.m_map.m_entries) {
        RC_ASSERT(value.m_version >= replica.m_seen_versions[key]);
        const auto& written = store.m_history.at(value.m_version.value() - 1);
        // A tombstone made by a full read has the revision of the read, at which another key may have been written.
        const auto is_written = written.m_key == key && written.m_value == value;
        RC_ASSERT(value.m_deleted || is_written);
        replica.m_seen_versions[key] = value.m_version;
        toggle_entry(digest, key, value.m_version);
    }
    RC_ASSERT(digest == replica.m_map.m_digest);
}

/** @brief Runs one anti-entropy exchange in both directions. */
auto exchange(versioned_map& left, versioned_map& right) -> void
{
    for (const auto& entry : entries_in_differing_buckets(right, right.m_digest, left.m_digest)) {
        merge(left, entry);
    }
    for (const auto& entry : entries_in_differing_buckets(left, left.m_digest, right.m_digest)) {
        merge(right, entry);
    }
}

auto merge_full_read(const store_model& store, versioned_map& map) -> void
{
    std::vector<versioned_entry> present;
    for (const auto& [key, value] : store.m_current) {
        if (!value.m_deleted) {
            present.push_back({key, value});
        }
    }
    static_cast<void>(merge_range(map, "res/", version{store.m_history.size()}, present));
}

auto run_random_step(store_model& store, std::vector<replica_model>& replicas) -> void
{
    auto& replica = replicas.at(*rc::gen::inRange<std::size_t>(0, replicas.size()));
    auto& other = replicas.at(*rc::gen::inRange<std::size_t>(0, replicas.size()));
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        write(store);
        break;
    case 1: // Delivers any past message, delayed or repeated; most messages are never delivered.
    case 2:
        if (!store.m_history.empty()) {
            merge(replica.m_map, store.m_history.at(*rc::gen::inRange<std::size_t>(0, store.m_history.size())));
        }
        break;
    case 3: // A restart loses all state; the new process loads it from a peer in the same partition, if one is chosen.
        replica.m_map = {};
        replica.m_seen_versions.clear();
        if (&other != &replica && other.m_partition == replica.m_partition) {
            for (const auto& entry : entries_above(other.m_map, version{})) {
                merge(replica.m_map, entry);
            }
        }
        break;
    case 4:
        if (other.m_partition == replica.m_partition) {
            exchange(replica.m_map, other.m_map);
        }
        break;
    case 5:
        merge_full_read(store, replica.m_map);
        break;
    default:
        replica.m_partition = *rc::gen::inRange(0, 2);
    }
}

// Guards against a delayed, repeated or reordered message, a restart or a healed partition that reverts a key or
// restores a deleted one, and against replicas that do not converge.
RC_GTEST_PROP(versioned_map, never_reverts_and_converges, ())
{
    store_model store;
    std::vector<replica_model> replicas(4);
    const auto steps = *rc::gen::inRange(1, 120);
    for (int count = 0; count < steps; ++count) {
        run_random_step(store, replicas);
        for (auto& replica : replicas) {
            check(replica, store);
        }
    }
    // The partition heals, and one replica reads the store.
    merge_full_read(store, replicas.front().m_map);
    for (std::size_t round = 0; round < replicas.size(); ++round) {
        for (std::size_t index = 1; index < replicas.size(); ++index) {
            exchange(replicas.at(index - 1).m_map, replicas.at(index).m_map);
        }
    }
    for (const auto& replica : replicas) {
        RC_ASSERT(replica.m_map.m_digest == replicas.front().m_map.m_digest);
        RC_ASSERT(replica.m_map.m_entries == replicas.front().m_map.m_entries);
        for (const auto& [key, value] : replica.m_map.m_entries) {
            RC_ASSERT(value.m_deleted == store.m_current.at(key).m_deleted);
            RC_ASSERT(value.m_value == store.m_current.at(key).m_value);
        }
        for (const auto& [key, value] : store.m_current) {
            RC_ASSERT(value.m_deleted || replica.m_map.m_entries.count(key) == 1);
        }
    }
}

// Guards against an older value that replaces the tombstone of its key.
TEST(versioned_map, merge_ignores_value_older_than_tombstone)
{
    versioned_map map;
    EXPECT_TRUE(merge(map, {"res/a", {version{3}, {}, true}}));
    EXPECT_FALSE(merge(map, {"res/a", {version{2}, "old", false}}));
    EXPECT_TRUE(map.m_entries.at("res/a").m_deleted);
}

} // namespace
