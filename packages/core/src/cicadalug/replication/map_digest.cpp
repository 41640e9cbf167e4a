#include <cicadalug/replication/map_digest.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>

namespace cicadalug {

namespace {

constexpr std::size_t hex_digits_per_bucket{16};

} // namespace

auto bucket_of(const std::string_view key) noexcept -> std::size_t
{
    return XXH3_64bits(key.data(), key.size()) % digest_buckets;
}

auto toggle_entry(map_digest& digest, const std::string_view key, const version entry_version) noexcept -> void
{
    digest.m_buckets.at(bucket_of(key)) ^= XXH3_64bits_withSeed(key.data(), key.size(), entry_version.value());
}

auto combine(map_digest left, const map_digest& right) noexcept -> map_digest
{
    for (std::size_t bucket = 0; bucket < digest_buckets; ++bucket) {
        left.m_buckets.at(bucket) ^= right.m_buckets.at(bucket);
    }
    return left;
}

auto fold(const map_digest& digest) noexcept -> std::uint64_t
{
    std::uint64_t folded{0};
    for (const auto bucket : digest.m_buckets) {
        folded ^= bucket;
    }
    return folded;
}

auto to_hex(const map_digest& digest) -> std::string
{
    constexpr std::string_view digits{"0123456789abcdef"};
    std::string text;
    text.reserve(digest_buckets * hex_digits_per_bucket);
    for (const auto bucket : digest.m_buckets) {
        for (int shift = 60; shift >= 0; shift -= 4) {
            text += digits[(bucket >> static_cast<unsigned>(shift)) & 15U];
        }
    }
    return text;
}

auto digest_from_hex(const std::string_view text) noexcept -> std::optional<map_digest>
{
    if (text.size() != digest_buckets * hex_digits_per_bucket) {
        return std::nullopt;
    }
    map_digest digest;
    const auto* position = text.data();
    for (auto& bucket : digest.m_buckets) {
        const auto [end, error] = std::from_chars(position, position + hex_digits_per_bucket, bucket, 16);
        if (error != std::errc{} || end != position + hex_digits_per_bucket) {
            return std::nullopt;
        }
        position = end;
    }
    return digest;
}

} // namespace cicadalug
