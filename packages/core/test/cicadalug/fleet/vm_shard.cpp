#include <cicadalug/fleet/vm_shard.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace {

using namespace cicadalug;

// Guards against losing a field when a shard is stored and read, which would revert a step of a move.
RC_GTEST_PROP(vm_shard, json_round_trip_keeps_all_fields, (std::uint64_t number, const std::string& text))
{
    const vm_record record{vm_id{"vm-1"},
                           availability_zone_id{"z1"},
                           rack_id{"r1"},
                           room_id{"hall"},
                           "127.0.0.1:9000",
                           4,
                           32,
                           pool_id{"quotes"},
                           *rc::gen::element(vm_phase::serving, vm_phase::announced, vm_phase::set_aside),
                           pool_id{text},
                           operation_id{text},
                           number,
                           version{number},
                           number,
                           operation_id{text},
                           *rc::gen::element(operation_outcome::none, operation_outcome::not_returned)};
    const vm_shard shard{epoch{number}, write_id{"w"}, {{record.m_vm, record}}};
    const auto back = parse_vm_shard(vm_shard_to_json(shard));
    RC_ASSERT(static_cast<bool>(back));
    RC_ASSERT(back.assume_value() == shard);
}

// Guards against reporting only the first error of a corrupt value.
TEST(vm_shard, reports_all_errors_with_their_location)
{
    const auto json = nlohmann::json::parse(
        R"({"epoch":-1,"vms":[{"vm":"a","availability_zone":"z","rack":"r","pool":"p","phase":"asleep"}]})");
    const auto parsed = parse_vm_shard(json);
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.assume_error().to_string(),
              "epoch: has a wrong type or value\nwrite_id: is missing\nvms[0].phase: has a wrong type or value");
}

// Guards against a shard that exceeds the value size limit of the key-value service.
RC_GTEST_PROP(vm_shard, never_holds_more_than_the_limit, ())
{
    const auto sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 257));
    const auto count = *rc::gen::inRange<std::size_t>(0, 2'000);
    auto after = sizes;
    for (const auto shard : assign_shards(sizes, count)) {
        after.resize(std::max(after.size(), shard + 1));
        ++after[shard];
    }
    RC_ASSERT(std::all_of(after.begin(), after.end(), [](const auto size) { return size <= max_vms_per_shard; }));
}

} // namespace
