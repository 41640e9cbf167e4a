#include <cicadalug/scheduler/lease_bounds.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <sstream>
#include <system_error>
#include <utility>

namespace cicadalug {

namespace {

constexpr std::string_view no_time{"-"};

/** @brief Protects the arithmetic from values of another writer; about 30 years. */
constexpr std::int64_t longest_time_ms{1'000'000'000'000};

/** @brief The election dates the bounds of terms up to this long only: over longer times, the rates of two VMs' clocks
 * differ by more than the margin of leases. */
constexpr milliseconds longest_dated_term{60'000};

auto write_time(std::ostream& text, const std::optional<milliseconds>& time) -> void
{
    if (time) {
        text << ' ' << time->count();
    }
    else {
        text << ' ' << no_time;
    }
}

/** @brief Reads a time. @return False if there is none. */
[[nodiscard]] auto read_time(std::istream& text, std::optional<milliseconds>& time) -> bool
{
    std::string word;
    if (!(text >> word)) {
        return false;
    }
    if (word == no_time) {
        time.reset();
        return true;
    }
    std::int64_t value{0};
    const auto* end = word.data() + word.size();
    const auto [rest, error] = std::from_chars(word.data(), end, value);
    time = milliseconds{std::clamp(value, -longest_time_ms, longest_time_ms)};
    return error == std::errc{} && rest == end;
}

[[nodiscard]] auto read_lease(std::istream& text, stored_lease& lease) -> bool
{
    return read_time(text, lease.m_end) && read_time(text, lease.m_stale_end) && read_time(text, lease.m_late_end) &&
           (text >> lease.m_settled >> lease.m_incarnation_start_unix_ms);
}

} // namespace

auto encode(const lease_bounds& bounds) -> std::string
{
    std::ostringstream text;
    text << bounds.m_token << ' ' << bounds.m_written.count() << ' ' << bounds.m_places_since;
    for (const auto& [worker, lease] : bounds.m_leases) {
        text << ' ' << worker;
        write_time(text, lease.m_end);
        write_time(text, lease.m_stale_end);
        write_time(text, lease.m_late_end);
        text << ' ' << lease.m_settled << ' ' << lease.m_incarnation_start_unix_ms;
    }
    return std::move(text).str();
}

auto decode_lease_bounds(const std::string_view text) -> std::optional<lease_bounds>
{
    std::istringstream stream{std::string{text}};
    lease_bounds bounds;
    std::uint64_t token{0};
    std::optional<milliseconds> written;
    std::uint64_t places_since{0};
    if (!(stream >> token) || !read_time(stream, written) || !written || !(stream >> places_since)) {
        return std::nullopt;
    }
    bounds.m_token = fencing_token{token};
    bounds.m_places_since = fencing_token{places_since};
    bounds.m_written = std::max(*written, milliseconds{0});
    std::string worker;
    while (stream >> worker) {
        if (!read_lease(stream, bounds.m_leases[worker_id{worker}])) {
            return std::nullopt;
        }
    }
    return bounds;
}

auto latest_election(const lease_bounds& bounds, const std::vector<dated_write>& writes,
                     const store_revisions& revisions, const time_point now) -> time_point
{
    const auto seen = [&](const store_revision revision) {
        return std::min(now, time_reached(revisions, revision).value_or(now));
    };
    auto latest = bounds.m_written > longest_dated_term ? now : seen(store_revision{bounds.m_token.value()});
    for (const auto& write : writes) {
        latest = std::min(latest, seen(write.m_revision) - write.m_age);
    }
    return latest;
}

} // namespace cicadalug
