#include <cicadalug/routing/slot_ledger.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <bit>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace {

using namespace cicadalug;

constexpr std::size_t entry_count = 3;
constexpr int upstream_count = 2;
constexpr int slots_each = 4;

/** @brief One use of a slot, measured with the global clock of the simulation. */
struct slot_use {
    std::size_t m_entry{0};
    slot_key m_key;
    time_point m_until;
};

struct sent_message {
    std::size_t m_to{0};
    slot_message m_message;
};

/** @brief Entry VMs with unsynchronized clocks, and a network that keeps every message for later redelivery. */
struct slot_simulation {
    std::array<slot_ledger, entry_count> m_ledgers;
    std::array<microseconds, entry_count> m_offsets{seconds{0}, seconds{5'000}, seconds{-7'000}};
    std::vector<sent_message> m_sent;
    std::vector<slot_use> m_uses;
    time_point m_now{seconds{10'000}};

    slot_simulation()
    {
        std::vector<entry_vm_id> live;
        for (std::size_t entry = 0; entry < entry_count; ++entry) {
            live.emplace_back(std::to_string(entry));
        }
        for (std::size_t entry = 0; entry < entry_count; ++entry) {
            auto& ledger = m_ledgers[entry];
            ledger.m_self = live[entry];
            ledger.m_incarnation = incarnation{7};
            for (auto number = 0; number < upstream_count; ++number) {
                const vm_id vm{"vm-" + std::to_string(number)};
                const auto upstream = intern_upstream(ledger, vm);
                ledger.m_slots[upstream].m_owned = own_share(make_share_members(live, live[entry]), vm, slots_each);
            }
        }
    }

    [[nodiscard]] auto local(const std::size_t entry) const -> time_point { return m_now + m_offsets[entry]; }

    auto advance_time(const milliseconds time) -> void
    {
        m_now += time;
        // Uses that reached their time limit end; the entry VMs free the slots as the router does.
        std::erase_if(m_uses, [this](const slot_use& use) {
            if (use.m_until > m_now) {
                return false;
            }
            mark_slot_free(m_ledgers[use.m_entry], use.m_key);
            return true;
        });
        for (std::size_t entry = 0; entry < entry_count; ++entry) {
            expire_loans(m_ledgers[entry], local(entry));
        }
    }

    auto send_request(const std::size_t entry, const std::size_t step) -> void
    {
        const auto lender = (entry + 1 + step % 2) % entry_count;
        const milliseconds term{100 + 50 * static_cast<int>(step % 10)};
        m_sent.push_back({lender, make_slot_request(m_ledgers[entry], m_ledgers[lender].m_self, pool_id{"p"},
                                                    static_cast<std::uint32_t>(1 + step % 3), term, local(entry))});
    }

    auto deliver(const sent_message message) -> void
    {
        auto& ledger = m_ledgers[message.m_to];
        const auto now = local(message.m_to);
        if (const auto* request = std::get_if<slot_request>(&message.m_message)) {
            if (auto grant = lend_slots(ledger, *request, {0, 1}, 2, now)) {
                m_sent.push_back({static_cast<std::size_t>(std::stoi(request->m_from.str())), std::move(*grant)});
            }
        }
        else if (const auto* grant = std::get_if<slot_grant>(&message.m_message)) {
            accept_grant(ledger, *grant, now);
        }
        else {
            reclaim_slots(ledger, std::get<slot_return>(message.m_message));
        }
    }

    auto use_slot(const std::size_t entry, const std::size_t step) -> void
    {
        const auto upstream = static_cast<upstream_index>(step % upstream_count);
        const milliseconds hold{10 + 20 * static_cast<int>(step % 41)};
        if (const auto slot = acquire_slot(m_ledgers[entry], upstream, local(entry) + hold)) {
            const slot_key key{upstream, *slot};
            for (const auto& other : m_uses) {
                RC_ASSERT(other.m_key != key);
            }
            m_uses.push_back({entry, key, m_now + hold});
        }
    }

    auto return_one(const std::size_t entry) -> void
    {
        auto& ledger = m_ledgers[entry];
        for (const auto& [key, loan] : ledger.m_borrowed) {
            if (((ledger.m_slots[key.m_upstream].m_busy >> key.m_slot) & 1U) == 0) {
                const auto lender = static_cast<std::size_t>(std::stoi(loan.m_lender.str()));
                m_sent.push_back({lender, return_borrowed_slot(ledger, key)});
                return;
            }
        }
    }
};

// Guards against a slot in use by two entry VMs when messages are lost, duplicated, reordered or delayed.
RC_GTEST_PROP(slot_ledger, a_slot_is_never_used_by_two_entry_vms, ())
{
    slot_simulation simulation;
    const auto length = *rc::gen::inRange<std::size_t>(200, 600);
    const auto steps = *rc::gen::container<std::vector<std::size_t>>(length, rc::gen::inRange<std::size_t>(0, 1 << 20));
    std::size_t loans{0};
    for (const auto step : steps) {
        const auto kind = step % 8;
        const auto value = step / 8;
        const auto entry = value % entry_count;
        if (kind <= 1) {
            simulation.use_slot(entry, value / 3);
        }
        else if (kind == 2) {
            simulation.send_request(entry, value / 3);
        }
        else if (kind == 3) {
            simulation.return_one(entry);
        }
        else if (kind == 4) {
            simulation.advance_time(milliseconds{value % 60});
        }
        else if (!simulation.m_sent.empty()) {
            // Delivers an arbitrary earlier message or one of the latest three. Messages can be delivered repeatedly.
            const auto newest = simulation.m_sent.size() - 1;
            simulation.deliver(simulation.m_sent[kind == 5 ? value % simulation.m_sent.size()
                                                           : newest - value % std::min<std::size_t>(newest + 1, 3)]);
        }
        for (const auto& ledger : simulation.m_ledgers) {
            loans += ledger.m_borrowed.size();
        }
    }
    RC_CLASSIFY(loans > 0, "with loans");
}

// Guards against a lender that reuses a slot before the term and the margin have passed, and against one that never
// reuses it.
TEST(slot_ledger, the_lender_reuses_a_slot_after_term_and_margin)
{
    slot_ledger lender;
    const auto upstream = intern_upstream(lender, vm_id{"vm"});
    lender.m_slots[upstream].m_owned = 0b11;
    const time_point start{seconds{1}};
    const slot_request request{entry_vm_id{"b"}, incarnation{1}, 1, pool_id{"p"}, 1, 500, false};
    ASSERT_TRUE(lend_slots(lender, request, {upstream}, 4, start));
    EXPECT_FALSE(lend_slots(lender, request, {upstream}, 4, start));
    EXPECT_TRUE(acquire_slot(lender, upstream, start));
    expire_loans(lender, start + milliseconds{500} + loan_margin - microseconds{1});
    EXPECT_FALSE(acquire_slot(lender, upstream, start));
    expire_loans(lender, start + milliseconds{500} + loan_margin);
    EXPECT_TRUE(acquire_slot(lender, upstream, start));
}

// Guards against the use of a slot whose lender was restarted or is unreachable, because another entry VM owns it then.
TEST(slot_ledger, slots_of_a_lost_or_restarted_lender_are_not_used)
{
    for (const auto& live : {std::unordered_map<entry_vm_id, incarnation>{},
                             std::unordered_map<entry_vm_id, incarnation>{{entry_vm_id{"b"}, incarnation{2}}},
                             std::unordered_map<entry_vm_id, incarnation>{{entry_vm_id{"b"}, incarnation{1}}}}) {
        slot_ledger ledger;
        const auto upstream = intern_upstream(ledger, vm_id{"vm"});
        const auto request = make_slot_request(ledger, entry_vm_id{"b"}, pool_id{"p"}, 1, seconds{1}, time_point{});
        accept_grant(ledger, {entry_vm_id{"b"}, incarnation{1}, {}, request.m_sequence, {{vm_id{"vm"}, 0}}}, {});
        drop_orphaned_loans(ledger, live);
        const auto is_known = live.contains(entry_vm_id{"b"}) && live.at(entry_vm_id{"b"}) == incarnation{1};
        EXPECT_EQ(acquire_slot(ledger, upstream, time_point{}).has_value(), is_known);
    }
}

} // namespace
