#include <cicadalug/order/journal.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace {

using namespace cicadalug;

constexpr content_digest content{7};
constexpr waiter_id waiter{1};

[[nodiscard]] auto make_journal() -> journal_state
{
    journal_state state;
    state.m_availability_zone = availability_zone_id{"z1"};
    state.m_self = entry_vm_id{"e1"};
    state.m_incarnation = incarnation{5};
    state.m_limits = {milliseconds{100}, milliseconds{50}, 40, 8, 20};
    return state;
}

[[nodiscard]] auto issue_one(journal_state& state, const time_point now) -> ticket
{
    return issue(state, 1, now).assume_value().front();
}

// Guards against running a repeated order again instead of returning the stored response.
TEST(journal, repeat_gets_the_stored_response)
{
    auto state = make_journal();
    const auto order = issue_one(state, time_point{});
    ASSERT_EQ(present_ticket(state, order, content, waiter, time_point{}).m_action, order_action::run);
    EXPECT_EQ(present_ticket(state, order, content, waiter, time_point{}).m_action, order_action::wait);
    const auto waiting = finish(state, order_key_of(order), order_outcome::answered,
                                stored_response{200, "text/plain", "cut"}, time_point{});
    EXPECT_EQ(waiting, std::vector{waiter});
    const auto repeated = present_ticket(state, order, content, waiter, time_point{});
    ASSERT_EQ(repeated.m_action, order_action::answer);
    EXPECT_EQ(repeated.m_response->m_body, "cut");
}

// Guards against running an order again that an earlier incarnation may have run.
TEST(journal, ticket_of_an_earlier_incarnation_is_unknown)
{
    auto state = make_journal();
    auto order = issue_one(state, time_point{});
    order.m_incarnation = incarnation{4};
    EXPECT_EQ(present_ticket(state, order, content, waiter, time_point{}).m_action, order_action::unknown);
}

// Guards against starting an order long after its ticket has expired.
TEST(journal, ticket_that_expired_unused_is_not_run)
{
    auto state = make_journal();
    const auto order = issue_one(state, time_point{});
    EXPECT_EQ(present_ticket(state, order, content, waiter, time_point{milliseconds{101}}).m_action,
              order_action::not_run);
}

// Guards against replying to a request with the response to another one.
TEST(journal, ticket_with_other_content_is_rejected)
{
    auto state = make_journal();
    const auto order = issue_one(state, time_point{});
    ASSERT_EQ(present_ticket(state, order, content, waiter, time_point{}).m_action, order_action::run);
    EXPECT_EQ(present_ticket(state, order, content_digest{8}, waiter, time_point{}).m_action, order_action::reject);
}

// Guards against a claimed key that is refused permanently after its first attempt was not run.
TEST(journal, claimed_key_that_was_not_run_can_run_again)
{
    auto state = make_journal();
    const order_key key{"k"};
    ASSERT_EQ(present_claimed_key(state, key, true, content, waiter, time_point{}).m_action, order_action::run);
    (void)finish(state, key, order_outcome::not_run, std::nullopt, time_point{});
    EXPECT_EQ(present_claimed_key(state, key, false, content, waiter, time_point{}).m_action, order_action::run);
}

// Guards against running a claimed key again once its order is no longer kept.
TEST(journal, claimed_key_is_unknown_after_the_retention)
{
    auto state = make_journal();
    const order_key key{"k"};
    ASSERT_EQ(present_claimed_key(state, key, true, content, waiter, time_point{}).m_action, order_action::run);
    (void)finish(state, key, order_outcome::unknown, std::nullopt, time_point{});
    EXPECT_EQ(present_claimed_key(state, key, false, content, waiter, time_point{milliseconds{51}}).m_action,
              order_action::unknown);
}

/** @brief Reference model with the full history of one journal: the orders that may have run, and all responses. */
struct reference_journal {
    std::set<ticket_number> m_possibly_run;
    std::map<ticket_number, std::string> m_responses;
};

enum class step { issue, present, finish_answered, finish_not_run, finish_unknown, wait };

// Guards against running an order twice, replying with the response to another order, and reporting not_run for an
// order that ran, in any interleaving of presentations, completions and elapsed time.
RC_GTEST_PROP(journal, matches_a_full_history_reference, ())
{
    auto state = make_journal();
    reference_journal reference;
    std::vector<ticket> issued;
    std::set<ticket_number> running;
    time_point now;
    const auto steps = *rc::gen::container<std::vector<step>>(
        rc::gen::element(step::issue, step::present, step::present, step::finish_answered, step::finish_not_run,
                         step::finish_unknown, step::wait));
    for (const auto next : steps) {
        if (next == step::wait) {
            now += milliseconds{*rc::gen::inRange(1, 90)};
            continue;
        }
        if (next == step::issue) {
            const auto tickets = issue(state, *rc::gen::inRange(1, 4), now);
            if (tickets) {
                issued.insert(issued.end(), tickets.assume_value().begin(), tickets.assume_value().end());
            }
            continue;
        }
        if (issued.empty()) {
            continue;
        }
        const auto order = *rc::gen::elementOf(issued);
        const auto number = order.m_number;
        if (next == step::present) {
            const auto decision = present_ticket(state, order, content, waiter, now);
            switch (decision.m_action) {
            case order_action::run:
                RC_ASSERT(!reference.m_possibly_run.contains(number));
                reference.m_possibly_run.insert(number);
                running.insert(number);
                break;
            case order_action::not_run:
                RC_ASSERT(!reference.m_possibly_run.contains(number));
                break;
            case order_action::answer:
                RC_ASSERT(decision.m_response->m_body == reference.m_responses.at(number));
                break;
            case order_action::wait:
                RC_ASSERT(running.contains(number));
                break;
            case order_action::unknown:
                RC_ASSERT(!running.contains(number));
                break;
            case order_action::reject:
                RC_FAIL("an issued ticket was rejected");
            }
            continue;
        }
        if (!running.contains(number)) {
            continue;
        }
        running.erase(number);
        if (next == step::finish_answered) {
            reference.m_responses[number] = "answer " + std::to_string(number.value());
            (void)finish(state, order_key_of(order), order_outcome::answered,
                         stored_response{200, "", reference.m_responses[number]}, now);
        }
        else if (next == step::finish_not_run) {
            reference.m_possibly_run.erase(number);
            (void)finish(state, order_key_of(order), order_outcome::not_run, std::nullopt, now);
        }
        else {
            (void)finish(state, order_key_of(order), order_outcome::unknown, std::nullopt, now);
        }
        RC_ASSERT(state.m_response_bytes <= state.m_limits.m_response_bytes);
        RC_ASSERT(state.m_orders.size() <= state.m_limits.m_orders);
    }
}

} // namespace
