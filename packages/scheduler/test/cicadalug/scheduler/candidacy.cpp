#include <cicadalug/scheduler/candidacy.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug::test {

namespace {

constexpr double strong{0.5};
constexpr double weak{0.12};

/** @brief An entry VM of a simulated election. */
struct simulated_entry_vm {
    std::string m_name;
    double m_cores{0.0};
    /** @brief Start, and end if it fails, from the beginning of the simulation. */
    milliseconds m_start{0};
    milliseconds m_end{milliseconds::max()};
    milliseconds m_spread{0};
    time_point m_campaign_from{};
    time_point m_request_from{};
    std::optional<time_point> m_campaign_at{std::nullopt};
};

/** @brief Plays an election with a store that responds at once. */
class simulated_election {
public:
    explicit simulated_election(std::vector<simulated_entry_vm> entry_vms) : m_entry_vms{std::move(entry_vms)} {}

    auto run(const milliseconds duration) -> void
    {
        for (milliseconds elapsed{0}; elapsed < duration; ++elapsed) {
            m_now = time_point{elapsed};
            if (m_request && m_now >= m_request_end) {
                m_request.reset();
            }
            for (auto& entry_vm : m_entry_vms) {
                if (elapsed >= entry_vm.m_end && m_holder == &entry_vm) {
                    end_term();
                }
                if (elapsed >= entry_vm.m_start && elapsed < entry_vm.m_end) {
                    advance(entry_vm);
                }
            }
        }
    }

    /** @brief Returns the names of all holders, in order. */
    [[nodiscard]] auto holders() const -> const std::vector<std::string>& { return m_holders; }

    /** @brief Returns the longest time without a holder after the first one. */
    [[nodiscard]] auto longest_vacancy() const -> microseconds { return m_longest_vacancy; }

    /** @brief Returns when terms were handed over. */
    [[nodiscard]] auto handovers() const -> const std::vector<time_point>& { return m_handovers; }

private:
    [[nodiscard]] auto view_of(const simulated_entry_vm& entry_vm) const -> election_view
    {
        election_view view;
        view.m_self = entry_vm_id{entry_vm.m_name};
        view.m_cores = entry_vm.m_cores;
        if (m_holder != nullptr) {
            view.m_holder = m_holder_revision;
            view.m_holder_cores = m_holder->m_cores;
        }
        view.m_request = m_request;
        view.m_has_term = m_holder == &entry_vm;
        view.m_campaign_from = entry_vm.m_campaign_from;
        view.m_request_from = entry_vm.m_request_from;
        return view;
    }

    auto advance(simulated_entry_vm& entry_vm) -> void
    {
        if (entry_vm.m_campaign_at) {
            if (m_now >= *entry_vm.m_campaign_at) {
                entry_vm.m_campaign_at.reset();
                begin_term(entry_vm);
            }
            return;
        }
        const auto view = view_of(entry_vm);
        switch (next_election_step(view, m_now)) {
        case election_step::campaign:
            entry_vm.m_campaign_at = m_now + campaign_delay(view, entry_vm.m_spread);
            break;
        case election_step::request_term:
            entry_vm.m_request_from = m_now + term_request_lifetime;
            m_request = term_request{view.m_self, view.m_cores, view.m_holder};
            m_request_end = m_now + term_request_lifetime;
            break;
        case election_step::hand_over_term:
            entry_vm.m_campaign_from = m_now + former_holder_pause;
            m_handovers.push_back(m_now);
            end_term();
            break;
        case election_step::watch:
            break;
        }
    }

    auto begin_term(const simulated_entry_vm& entry_vm) -> void
    {
        if (m_holder != nullptr) {
            return;
        }
        if (!m_holders.empty()) {
            m_longest_vacancy = std::max(m_longest_vacancy, m_now - m_vacant_since);
        }
        m_holder = &entry_vm;
        m_holder_revision = store_revision{m_holder_revision.value() + 1};
        m_holders.push_back(entry_vm.m_name);
    }

    auto end_term() -> void
    {
        m_holder = nullptr;
        m_vacant_since = m_now;
    }

    std::vector<simulated_entry_vm> m_entry_vms;
    time_point m_now{};
    const simulated_entry_vm* m_holder{nullptr};
    store_revision m_holder_revision;
    std::optional<term_request> m_request;
    time_point m_request_end{};
    time_point m_vacant_since{};
    microseconds m_longest_vacancy{0};
    std::vector<std::string> m_holders;
    std::vector<time_point> m_handovers;
};

using names = std::vector<std::string>;

} // namespace

// Guards against electing an entry VM for which a takeover takes seconds while better-equipped candidates exist.
TEST(candidacy, weak_entry_vms_wait_for_stronger_ones)
{
    EXPECT_EQ(candidate_delay(0.25), milliseconds{0});
    EXPECT_EQ(candidate_delay(0.5), milliseconds{0});
    // Candidates start within 60 ms of each other, and an election takes two calls to the store.
    EXPECT_GE(candidate_delay(0.12), milliseconds{200});
    EXPECT_LE(candidate_delay(0.0), max_candidate_delay);
}

// Guards against a weak decider that keeps its term after stronger entry VMs have started.
TEST(candidacy, strong_entry_vm_that_starts_later_gets_the_term)
{
    simulated_election election{{{"weak-1", weak},
                                 {"weak-2", weak, milliseconds{20}, milliseconds::max(), milliseconds{30}},
                                 {"strong", strong, milliseconds{300}}}};
    election.run(milliseconds{60'000});
    EXPECT_EQ(election.holders(), (names{"weak-1", "strong"}));
    EXPECT_LT(election.longest_vacancy(), milliseconds{100});
}

// Guards against a request of each strong entry VM leading to a handover of its own.
TEST(candidacy, several_strong_entry_vms_cause_one_handover)
{
    simulated_election election{{{"weak", weak},
                                 {"strong-1", strong, milliseconds{300}, milliseconds::max(), milliseconds{40}},
                                 {"strong-2", strong, milliseconds{300}, milliseconds::max(), milliseconds{10}}}};
    election.run(milliseconds{60'000});
    // The one that made the request goes first, although its spread is longer.
    EXPECT_EQ(election.holders(), (names{"weak", "strong-1"}));
}

// Guards against terms that are handed over without a gain.
TEST(candidacy, only_a_weak_holder_is_replaced_and_only_by_a_strong_entry_vm)
{
    EXPECT_TRUE(should_replace_holder(sufficient_cores, weak));
    EXPECT_FALSE(should_replace_holder(0.24, weak));
    EXPECT_FALSE(should_replace_holder(4.0, sufficient_cores));
    // Entry VMs of earlier versions do not state their capacity and read no requests.
    EXPECT_FALSE(should_replace_holder(strong, std::nullopt));

    simulated_election election{
        {{"strong-1", strong}, {"weak", weak, milliseconds{50}}, {"strong-2", 2.0, milliseconds{100}}}};
    election.run(milliseconds{60'000});
    EXPECT_EQ(election.holders(), names{"strong-1"});
}

// Guards against a deployment without a decider, or with frequent handovers, if entry VMs fail after their request.
TEST(candidacy, former_holder_returns_if_the_requesting_entry_vm_fails)
{
    simulated_election election{{{"weak", weak},
                                 {"strong-1", strong, milliseconds{400}, milliseconds{401}},
                                 {"strong-2", strong, milliseconds{4'000}, milliseconds{5'500}}}};
    election.run(milliseconds{60'000});
    ASSERT_EQ(election.holders(), (names{"weak", "weak", "strong-2", "weak"}));
    ASSERT_EQ(election.handovers().size(), 2U);
    EXPECT_GE(election.handovers()[1] - election.handovers()[0], term_request_lifetime);
    EXPECT_LE(election.longest_vacancy(), former_holder_pause + max_candidate_delay);
}

// Guards against a handover to an entry VM whose request was for an earlier term of the holder.
TEST(candidacy, request_for_an_earlier_term_is_ignored)
{
    election_view view;
    view.m_self = entry_vm_id{"weak"};
    view.m_cores = weak;
    view.m_has_term = true;
    view.m_holder = store_revision{8};
    view.m_holder_cores = weak;
    view.m_request = term_request{entry_vm_id{"strong"}, strong, store_revision{7}};
    EXPECT_EQ(next_election_step(view, time_point{}), election_step::watch);
    view.m_request->m_holder = view.m_holder;
    EXPECT_EQ(next_election_step(view, time_point{}), election_step::hand_over_term);
}

// Guards against an entry VM that gets a term while it shuts down.
TEST(candidacy, entry_vm_that_shuts_down_neither_campaigns_nor_requests)
{
    election_view view;
    view.m_cores = strong;
    EXPECT_EQ(next_election_step(view, time_point{}), election_step::campaign);
    view.m_resigned = true;
    EXPECT_EQ(next_election_step(view, time_point{}), election_step::watch);
    view.m_holder = store_revision{8};
    view.m_holder_cores = weak;
    EXPECT_EQ(next_election_step(view, time_point{}), election_step::watch);
    view.m_resigned = false;
    EXPECT_EQ(next_election_step(view, time_point{}), election_step::request_term);
}

} // namespace cicadalug::test
