#include <cicadalug/platform/compare_and_swap.hpp>

#include <utility>

namespace cicadalug {

namespace {

/** @brief Decides what a read of the key tells about a write; nothing if the key is unchanged. */
[[nodiscard]] auto judge(const kv_entry& current, const kv_write& write) -> std::optional<platform_result<version>>
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
    // Once an answer was lost, an error of a later call cannot tell that the first write had no effect.
    bool maybe_applied = false;
    platform_error last;
    while (attempts-- > 0) {
        auto written = co_await client.put_once(write);
        if (written) {
            co_return written;
        }
        last = std::move(written).assume_error();
        if (last.m_kind == platform_error_kind::conflict) {
            auto verdict = judge(last.m_current, write);
            if (verdict) {
                co_return std::move(*verdict);
            }
            co_return std::move(last);
        }
        if (last.m_kind != platform_error_kind::unknown) {
            break;
        }
        maybe_applied = true;
        bool unchanged = false;
        while (!unchanged && attempts-- > 0) {
            auto current = co_await client.get(write.m_key);
            if (!current) {
                continue;
            }
            auto verdict = judge(current.assume_value(), write);
            if (verdict) {
                co_return std::move(*verdict);
            }
            unchanged = true;
        }
    }
    if (maybe_applied) {
        last.m_kind = platform_error_kind::unknown;
    }
    co_return std::move(last);
}

} // namespace cicadalug
