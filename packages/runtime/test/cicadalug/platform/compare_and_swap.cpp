#include <cicadalug/async/run_on.hpp>
#include <cicadalug/platform/compare_and_swap.hpp>
#include <cicadalug/platform/memory_platform.hpp>
#include <cicadalug/platform/write_id_source.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cicadalug;

template<typename Type>
[[nodiscard]] auto run(asio::awaitable<Type> task) -> Type
{
    asio::io_context context;
    std::optional<Type> output;
    asio::co_spawn(context, internal::store_result(std::move(task), &output), asio::detached);
    context.run();
    return std::move(*output);
}

[[nodiscard]] auto make_write(write_id_source& ids, const std::string& value, const version expected) -> kv_write
{
    return {"res/pool/quotes", value, expected, ids.next(), {}};
}

/** @brief Returns a copy of the stored entry of a key; its version is zero if there is none. */
[[nodiscard]] auto entry_of(const memory_platform& platform, const std::string& key) -> kv_entry
{
    const auto found = platform.entries().find(key);
    return found == platform.entries().end() ? kv_entry{} : found->second;
}

// Guards against a writer that mistakes its own write for that of another writer after the response was lost.
TEST(compare_and_swap, lost_response_is_recognized_by_the_write_id)
{
    memory_platform platform;
    write_id_source ids{entry_vm_id{"e1"}, incarnation{1}};
    platform.add_fault(memory_platform_fault::lost_response);
    const auto written = run(compare_and_swap(platform, make_write(ids, "a", version{})));
    ASSERT_TRUE(written);
    EXPECT_EQ(written.assume_value(), version{1});
}

// Guards against reporting "not applied" when a later error hides the first lost response.
TEST(compare_and_swap, outage_after_a_lost_response_is_unknown)
{
    memory_platform platform;
    write_id_source ids{entry_vm_id{"e1"}, incarnation{1}};
    platform.add_fault(memory_platform_fault::lost_response);
    for (int call = 0; call < 10; ++call) {
        platform.add_fault(memory_platform_fault::unavailable);
    }
    const auto written = run(compare_and_swap(platform, make_write(ids, "a", version{})));
    ASSERT_FALSE(written);
    EXPECT_EQ(written.assume_error().m_kind, platform_error_kind::unknown);
}

// Guards against a reported result that disagrees with the store: writes with current and outdated expected versions
// run under all faults, and the result of each is compared with the store.
RC_GTEST_PROP(compare_and_swap, result_agrees_with_the_store, ())
{
    memory_platform platform;
    write_id_source ids{entry_vm_id{"e1"}, incarnation{1}};
    version seen;
    const auto rounds = *rc::gen::inRange(1, 20);
    for (int round = 0; round < rounds; ++round) {
        for (auto faults = *rc::gen::inRange(0, 5); faults > 0; --faults) {
            platform.add_fault(*rc::gen::element(memory_platform_fault::none, memory_platform_fault::unavailable,
                                                 memory_platform_fault::lost_request,
                                                 memory_platform_fault::lost_response));
        }
        const auto write = make_write(ids, std::to_string(round), *rc::gen::element(seen, version{}));
        const auto before = entry_of(platform, write.m_key);
        const auto written = run(compare_and_swap(platform, write));
        const auto after = entry_of(platform, write.m_key);
        const auto applied = after.m_write_id == write.m_write_id;
        if (written) {
            RC_ASSERT(applied);
            RC_ASSERT(after.m_version == written.assume_value());
        }
        else if (written.assume_error().m_kind != platform_error_kind::unknown) {
            RC_ASSERT(!applied);
            RC_ASSERT(before == after);
        }
        seen = after.m_version;
    }
}

} // namespace
