#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/model/resource.hpp>
#include <cicadalug/model/spec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace {

using namespace cicadalug;

[[nodiscard]] auto make_view_with_two_pools() -> fleet_view
{
    fleet_view view;
    view.m_pools[pool_id{"member-portal"}] = {pool_id{"member-portal"}, true};
    view.m_pools[pool_id{"quotes"}] = {pool_id{"quotes"}};
    return view;
}

[[nodiscard]] auto arbitrary_service() -> service
{
    service item;
    item.m_id = service_id{"quotes"};
    item.m_pool = pool_id{"quotes"};
    item.m_promised_vms = *rc::gen::inRange(0, 1'000'000);
    item.m_default_deadline = milliseconds{*rc::gen::inRange(1, 100'000)};
    item.m_queue_limit = *rc::gen::inRange(0, 1'000);
    item.m_retry_ratio = *rc::gen::inRange(0, 1'000) / 1'000.0;
    for (auto steps = *rc::gen::inRange(0, 4); steps > 0; --steps) {
        item.m_degradation_steps.push_back(
            {*rc::gen::element(degradation_action::throttle, degradation_action::checkpoint, degradation_action::stop),
             *rc::gen::inRange(1, 100), watts{*rc::gen::inRange(0, 100'000)}});
    }
    return item;
}

// Guards against a member that is written but not read, or read but not written.
RC_GTEST_PROP(resource, survives_a_json_round_trip, ())
{
    const auto item = arbitrary_service();
    const resource source{resource_kind::service, "quotes", version{*rc::gen::arbitrary<std::uint64_t>()},
                          to_spec(item), write_id{"w1"}};
    const auto read = parse_and_validate_resource(to_json(source).dump(), make_view_with_two_pools());
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.assume_value() == source);

    auto view = make_view_with_two_pools();
    RC_ASSERT(apply_resource(view, read.assume_value()).empty());
    RC_ASSERT(to_spec(view.m_services.at(service_id{"quotes"})) == source.m_spec);
    RC_ASSERT(view.m_version == source.m_version);
}

// Guards against malformed text from a caller that terminates the process.
RC_GTEST_PROP(resource, malformed_text_gives_findings, ())
{
    auto text =
        to_json(resource{resource_kind::service, "quotes", version{3}, to_spec(arbitrary_service()), {}}).dump();
    const auto changes = *rc::gen::inRange(1, 6);
    for (int change = 0; change < changes && !text.empty(); ++change) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(position, *rc::gen::inRange<std::size_t>(0, 4), *rc::gen::arbitrary<std::string>());
    }
    const auto read = parse_and_validate_resource(text, make_view_with_two_pools());
    if (!read) {
        RC_ASSERT(!read.assume_error().empty());
    }
}

// Guards against reporting only some of the errors of a resource.
TEST(resource, reports_all_errors_together)
{
    const auto read = parse_and_validate_resource(R"({"kind":"service","name":"quotes","colour":1,"spec":{
        "pool":"qotes","promissed_vms":3,"retry_ratio":1.5,"bend":[{"action":"stopp","vms":1,"saved_watts_per_vm":1}]}})",
                                                  make_view_with_two_pools());
    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(read.assume_error().to_string(),
              "colour: unknown member 'colour'; known: kind name version spec status write_id deleted\n"
              "spec.promised_vms: is missing\n"
              "spec.retry_ratio: must be from 0 to 1\n"
              "spec.bend[0].action: unknown action 'stopp'; did you mean 'stop'?\n"
              "spec.promissed_vms: unknown member 'promissed_vms'; did you mean 'promised_vms'?\n"
              "spec.pool: unknown pool 'qotes'; did you mean 'quotes'?");
}

// Guards against accepting an invalid reference, and against reporting it only after all other errors are fixed.
TEST(resource, checks_references)
{
    const auto check = [](const std::string& text) {
        const auto read = parse_and_validate_resource(text, make_view_with_two_pools());
        return read ? std::string{} : read.assume_error().to_string();
    };
    EXPECT_EQ(check(R"({"kind":"wave","name":"w","spec":{"pools":["quotes","quote"]}})"),
              "spec.pools[1]: unknown pool 'quote'; did you mean 'quotes'?");
    EXPECT_EQ(check(R"({"kind":"pool","name":"p","spec":{"spare":true}})"),
              "spec.spare: pool 'member-portal' is the spare pool already");
    EXPECT_EQ(check(R"({"kind":"vm","name":"w1","spec":{"pool":"quote"}})"),
              "spec.pool: unknown pool 'quote'; did you mean 'quotes'?");
    EXPECT_EQ(check(R"({"kind":"policy","name":"p","spec":{}})"),
              "name: the one resource of kind policy is named 'default'");
}

// Guards against showing a difference, and writing the resource, for a member that only states its default explicitly.
TEST(resource, complete_spec_fills_in_defaults)
{
    const auto spec = [](const std::string& text) {
        return complete_spec(parse_resource(text).assume_value()).assume_value();
    };
    EXPECT_EQ(spec(R"({"kind":"pool","name":"p","spec":{}})"),
              spec(R"({"kind":"pool","name":"p","spec":{"spare":false}})"));
}

// Guards against rejecting the drain of a VM in another zone, whose record the entry VM does not have.
TEST(resource, vm_of_another_zone_is_accepted)
{
    auto view = make_view_with_two_pools();
    view.m_vms[vm_id{"north-w1"}].m_vm = vm_id{"north-w1"};
    const auto drain = R"({"kind":"vm","name":"south-w1","spec":{"drain":true}})";
    EXPECT_TRUE(parse_and_validate_resource(drain, view));
}

// Guards against deleting a pool that a service is still placed on.
TEST(resource, deleting_a_used_pool_is_refused)
{
    auto view = make_view_with_two_pools();
    view.m_services[service_id{"s"}].m_pool = pool_id{"quotes"};
    const resource tombstone{resource_kind::pool, "quotes", version{4}, nullptr, write_id{"w2"}, true};
    EXPECT_EQ(validate_resource(tombstone, view).to_string(), "name: service 's' is placed on this pool");
    view.m_services.clear();
    EXPECT_TRUE(validate_resource(tombstone, view).empty());
    EXPECT_TRUE(apply_resource(view, resource_from_json(to_json(tombstone)).assume_value()).empty());
    EXPECT_FALSE(view.m_pools.contains(pool_id{"quotes"}));
}

// Guards against malicious text that exhausts the stack or hides a value behind a duplicate member.
TEST(resource, rejects_deep_nesting_and_duplicate_members)
{
    EXPECT_EQ(parse_resource(std::string(500'000, '[')).assume_error().items().size(), 1U);
    const auto deep = std::string(40, '[') + std::string(40, ']');
    EXPECT_EQ(parse_resource(deep).assume_error().to_string(), "document: is nested more than 32 levels deep");
    EXPECT_EQ(parse_resource(R"({"kind":"pool","name":"a","name":"b","spec":{}})").assume_error().to_string(),
              "name: is given more than once in one object");
    EXPECT_EQ(parse_resource("{\"kind\":\n  nul}").assume_error().to_string(), "line 2, column 6: is not valid JSON");
    EXPECT_EQ(parse_resource("{\"kind\":").assume_error().to_string(),
              "line 1, column 9: the JSON text ends too early");
}

} // namespace
