#include <cicadalug/replication/versioned_map.hpp>

#include <algorithm>
#include <set>

namespace cicadalug {

namespace {

[[nodiscard]] auto has_prefix(const std::string_view text, const std::string_view prefix) noexcept -> bool
{
    return text.substr(0, prefix.size()) == prefix;
}

/** @brief Returns the revision of the last full read that covers a key, zero if there is none. */
[[nodiscard]] auto last_full_read_revision(const versioned_map& map, const std::string_view key) -> version
{
    version revision;
    for (const auto& [prefix, read_revision] : map.m_full_read_revisions) {
        if (has_prefix(key, prefix)) {
            revision = std::max(revision, read_revision);
        }
    }
    return revision;
}

} // namespace

auto merge(versioned_map& map, const versioned_entry& entry) -> bool
{
    if (entry.m_value.m_version == version{}) {
        return false;
    }
    auto& current = map.m_entries[entry.m_key];
    if (current.m_version >= entry.m_value.m_version) {
        return false;
    }
    if (current.m_version != version{}) {
        toggle_entry(map.m_digest, entry.m_key, current.m_version);
    }
    const auto read_revision = last_full_read_revision(map, entry.m_key);
    current = entry.m_value.m_version <= read_revision ? versioned_value{read_revision, {}, true} : entry.m_value;
    if (current.m_deleted) {
        current.m_value.clear();
    }
    toggle_entry(map.m_digest, entry.m_key, current.m_version);
    map.m_highest_version = std::max(map.m_highest_version, current.m_version);
    return true;
}

auto merge_range(versioned_map& map, const std::string_view prefix, const version revision,
                 const std::vector<versioned_entry>& entries) -> std::vector<versioned_entry>
{
    std::vector<versioned_entry> changed;
    std::set<std::string_view> present;
    for (const auto& entry : entries) {
        present.insert(entry.m_key);
        if (merge(map, entry)) {
            changed.push_back(entry);
        }
    }
    std::vector<versioned_entry> removed;
    for (auto it = map.m_entries.lower_bound(prefix); it != map.m_entries.end() && has_prefix(it->first, prefix);
         ++it) {
        if (!it->second.m_deleted && it->second.m_version <= revision && present.count(it->first) == 0) {
            removed.push_back({it->first, {revision, {}, true}});
        }
    }
    for (const auto& entry : removed) {
        if (merge(map, entry)) {
            changed.push_back(entry);
        }
    }
    auto& read_revision = map.m_full_read_revisions[std::string{prefix}];
    read_revision = std::max(read_revision, revision);
    return changed;
}

auto entries_above(const versioned_map& map, const version above) -> std::vector<versioned_entry>
{
    std::vector<versioned_entry> entries;
    for (const auto& [key, value] : map.m_entries) {
        if (value.m_version > above) {
            entries.push_back({key, value});
        }
    }
    std::sort(entries.begin(), entries.end(),
              [](const auto& left, const auto& right) { return left.m_value.m_version < right.m_value.m_version; });
    return entries;
}

auto entries_in_differing_buckets(const versioned_map& map, const map_digest& own, const map_digest& peer)
    -> std::vector<versioned_entry>
{
    std::vector<versioned_entry> entries;
    for (const auto& [key, value] : map.m_entries) {
        const auto bucket = bucket_of(key);
        if (own.m_buckets.at(bucket) != peer.m_buckets.at(bucket)) {
            entries.push_back({key, value});
        }
    }
    return entries;
}

} // namespace cicadalug
