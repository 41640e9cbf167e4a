#include <cicadalug/platform/compare_and_swap.hpp>

#include <utility>

namespace cicadalug {

namespace {

/** @brief Returns the outcome of a write that follows from the current entry, or nothing if the key is unchanged. */
[[nodiscard]] auto resolve_write(const kv_entry& current, const kv_write& write)
    -> std::optional<platform_result<version>>
{
    if (current.m_write_id == write.m_write_id) {
        return platform_result<version>{current.m_version};
    }
    if (current.m_version != write.m_expected) {
        return platform_result<version>{
            platform_error{platform_error_kind::conflict, "another write came first", current}};
    }
    return std::nullopt;
}

} // namespace

auto compare_and_swap(platform_client& client, const kv_write write, int attempts)
    -> asio::awaitable<platform_result<version>>
{
    // After a lost response, an error of a later call does not prove that the first write had no effect.
    bool maybe_applied = false;
    platform_error last_error;
    while (attempts-- > 0) {
        auto written = co_await client.put_once(write);
        if (written) {
            co_return written;
        }
        last_error = std::move(written).assume_error();
        if (last_error.m_kind == platform_error_kind::conflict) {
            auto resolved = resolve_write(last_error.m_current, write);
            if (resolved) {
                co_return std::move(*resolved);
            }
            co_return std::move(last_error);
        }
        if (last_error.m_kind != platform_error_kind::unknown) {
            break;
        }
        maybe_applied = true;
        bool unchanged = false;
        while (!unchanged && attempts-- > 0) {
            auto current = co_await client.get(write.m_key);
            if (!current) {
                continue;
            }
            auto resolved = resolve_write(current.assume_value(), write);
            if (resolved) {
                co_return std::move(*resolved);
            }
            unchanged = true;
        }
    }
    if (maybe_applied) {
        last_error.m_kind = platform_error_kind::unknown;
    }
    co_return std::move(last_error);
}

} // namespace cicadalug
