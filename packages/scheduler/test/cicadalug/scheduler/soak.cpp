#include "soak_faults.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iterator>
#include <sstream>
#include <string>

namespace cicadalug::test {

namespace {

[[nodiscard]] auto number_from_environment(const char* name, const std::uint64_t otherwise) -> std::uint64_t
{
    // The tests run in a single thread.
    const auto* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? otherwise : std::stoull(text);
}

/** @brief Returns the common kinds of faults, or those named in CICADALUG_SOAK_FAULTS. */
[[nodiscard]] auto chosen_faults() -> std::set<soak_fault>
{
    const auto* text = std::getenv("CICADALUG_SOAK_FAULTS"); // NOLINT(concurrency-mt-unsafe)
    std::istringstream words{text == nullptr ? "" : text};
    const std::set<std::string> names{std::istream_iterator<std::string>{words}, {}};
    std::set<soak_fault> faults;
    for (std::size_t number = 0; number < soak_faults; ++number) {
        const auto fault = static_cast<soak_fault>(number);
        if (names.empty() ? number < common_soak_faults : names.contains(std::string{name_of(fault)})) {
            faults.insert(fault);
        }
    }
    return faults;
}

/** @brief Returns the chosen faults that are among the first kinds. */
[[nodiscard]] auto chosen_first_faults() -> std::set<soak_fault>
{
    auto faults = chosen_faults();
    std::erase_if(faults, [](const soak_fault fault) { return static_cast<std::size_t>(fault) >= first_soak_faults; });
    return faults;
}

/** @brief Runs a number of seeds, which CICADALUG_SOAK_SEED and CICADALUG_SOAK_SEEDS change. */
auto soak_seeds(soak_settings settings, const std::string& name, const std::uint64_t seeds) -> void
{
    const auto first = number_from_environment("CICADALUG_SOAK_SEED", 1);
    const auto count = number_from_environment("CICADALUG_SOAK_SEEDS", seeds);
    for (auto seed = first; seed < first + count; ++seed) {
        settings.m_seed = seed;
        const auto longest_lease = number_from_environment(
            "CICADALUG_SOAK_LONGEST_LEASE_MS", static_cast<std::uint64_t>(settings.m_longest_lease.count()));
        settings.m_longest_lease = milliseconds{longest_lease};
        settings.m_verbose = number_from_environment("CICADALUG_SOAK_VERBOSE", 0) > 0;
        const auto findings = run_soak(settings);
        for (const auto& violation : findings.m_violations) {
            ADD_FAILURE() << name << " seed " << seed << ": " << violation;
        }
    }
}

} // namespace

// Guards against rules that are broken only by a single kind of fault.
TEST(soak, faults_of_one_kind)
{
    for (const auto fault : chosen_faults()) {
        soak_settings settings;
        settings.m_faults = {fault};
        settings.m_faulty = milliseconds{20'000};
        settings.m_calm = milliseconds{12'000};
        soak_seeds(settings, std::string{name_of(fault)}, 1);
    }
}

// Guards against rules that are broken only by several faults together.
TEST(soak, faults_of_all_kinds)
{
    soak_settings settings;
    settings.m_faults = chosen_first_faults();
    soak_seeds(settings, "all", 10);
}

// Guards against rules that are broken only while a decider that is cut off goes on beside its successor.
TEST(soak, faults_of_all_kinds_and_two_deciders)
{
    soak_settings settings;
    settings.m_faults = chosen_faults();
    soak_seeds(settings, "all with two deciders", 5);
}

// Guards against a second run of a task whose worker holds a lease that was meant for an earlier incarnation.
TEST(soak, late_renewals_and_restarts)
{
    soak_settings settings;
    settings.m_faults = {soak_fault::restarted_with_late_renewals};
    settings.m_longest_lease = milliseconds{10'000};
    soak_seeds(settings, "late renewals", 5);
}

// Guards against the same, and against starts that are carried out by a later incarnation.
TEST(soak, late_calls_and_restarts)
{
    soak_settings settings;
    settings.m_faults = {soak_fault::restarted_with_late_calls};
    settings.m_longest_lease = milliseconds{10'000};
    soak_seeds(settings, "late calls", 5);
}

// Guards against long-running tasks whose wait for a lost worker begins anew with each decider, or is for the workers
// of other tasks.
TEST(soak, series_of_takeovers)
{
    soak_settings settings;
    settings.m_faults = {soak_fault::takeover_series};
    settings.m_longest_lease = milliseconds{10'000};
    settings.m_faulty = milliseconds{60'000};
    settings.m_calm = milliseconds{30'000};
    // A backlog after each takeover would leave no worker with room.
    settings.m_steps_per_job = 60;
    soak_seeds(settings, "series", 10);
}

// Guards against gangs whose members are started alone, and never end, beside faults of all kinds.
TEST(soak, gangs)
{
    soak_settings settings;
    settings.m_faults = chosen_faults();
    settings.m_features = {soak_feature::gangs};
    soak_seeds(settings, "gangs", 4);
}

} // namespace cicadalug::test
