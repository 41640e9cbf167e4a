#include <cicadalug/fleet/budget_ledger.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against losing a charge or an epoch when a ledger is stored and read.
TEST(budget_ledger, json_round_trip_keeps_all_fields)
{
    const budget_ledger ledger{write_id{"w"},
                               service_id{"quotes"},
                               pool_id{"p"},
                               7,
                               {{vm_id{"a"}, {operation_id{"wave:w1"}, availability_zone_id{"z1"}, epoch{3}}}},
                               {{availability_zone_id{"z1"}, {epoch{4}, 10, {vm_id{"b"}}}}}};
    const auto back = parse_budget_ledger(budget_ledger_to_json(ledger));
    ASSERT_TRUE(back);
    EXPECT_EQ(back.assume_value(), ledger);
}

// Guards against accepting two charges of one VM, of which only one would be released.
TEST(budget_ledger, rejects_a_vm_that_is_charged_twice)
{
    auto json = budget_ledger_to_json({write_id{"w"}, service_id{"s"}, pool_id{"p"}, 1, {{vm_id{"a"}, {}}}, {}});
    json["charges"].push_back(json["charges"][0]);
    const auto parsed = parse_budget_ledger(json);
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.assume_error().to_string(), "charges[1].vm: VM 'a' is charged twice");
}

} // namespace
