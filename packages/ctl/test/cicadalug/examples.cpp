#include <cicadalug/document/resource_document.hpp>
#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/settings/settings.hpp>

#include <gtest/gtest.h>

#include <filesystem>
#include <map>
#include <ostream>
#include <set>

namespace {

using namespace cicadalug;

struct deployment {
    const char* m_directory;
    std::size_t m_zones;
    const char* m_spare;
};

/** @brief Prints a deployment as its directory name, so that test names do not differ between runs. */
auto PrintTo(const deployment& value, std::ostream* stream) -> void // NOLINT(readability-identifier-naming)
{
    *stream << value.m_directory;
}

class examples : public ::testing::TestWithParam<deployment> {
protected:
    [[nodiscard]] auto path(const std::string& rest) const -> std::string
    {
        return std::string{CICADALUG_EXAMPLES "/"} + GetParam().m_directory + rest;
    }
};

// Guards against examples that no longer match the resource model, or that contradict the sizes of the design page.
TEST_P(examples, resources_are_valid_together)
{
    findings found;
    auto documents = load_resource_documents(path("/resources"), found);
    const auto waves = load_resource_documents(path("/waves"), found);
    documents.insert(documents.end(), waves.begin(), waves.end());
    fleet_view view;
    for (const auto& document : documents) {
        found.append(apply_resource(view, document.m_resource));
    }
    for (const auto& document : documents) {
        append_with_location(document, validate_resource(document.m_resource, view), found);
    }
    EXPECT_TRUE(found.empty()) << found.to_string();
    EXPECT_EQ(view.m_services.size(), 5U);
    EXPECT_EQ(view.m_waves.size(), 1U);
    EXPECT_TRUE(view.m_pools.at(pool_id{GetParam().m_spare}).m_spare);
}

// Guards against settings of entry VMs that differ in the address of a peer, which would lose heartbeats.
TEST_P(examples, settings_of_all_entry_vms_agree)
{
    std::map<entry_vm_id, settings> all;
    std::set<availability_zone_id> zones;
    for (const auto& entry : std::filesystem::directory_iterator{path("/settings")}) {
        const auto read = load_settings(entry.path().string());
        ASSERT_TRUE(read) << read.assume_error().to_string();
        zones.insert(read.assume_value().m_availability_zone);
        all.emplace(read.assume_value().m_entry_vm, read.assume_value());
    }
    EXPECT_EQ(zones.size(), GetParam().m_zones);
    for (const auto& [id, own] : all) {
        EXPECT_EQ(own.m_peers.size() + 1, all.size());
        for (const auto& peer : own.m_peers) {
            const auto& other = all.at(peer.m_entry_vm);
            EXPECT_EQ(peer.m_datagrams, other.m_datagrams);
            EXPECT_EQ(peer.m_operators, other.m_operators);
            EXPECT_EQ(peer.m_availability_zone, other.m_availability_zone);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(deployments, examples,
                         ::testing::Values(deployment{"co-operative", 3, "member-portal"},
                                           deployment{"samahang", 4, "common-desk"}));

} // namespace
