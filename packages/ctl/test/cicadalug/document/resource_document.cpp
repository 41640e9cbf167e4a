#include <cicadalug/document/resource_document.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cicadalug;

// Guards against wrong locations of members, and against a quoted number that is not read as a string.
TEST(resource_document, reads_yaml_and_json_with_locations)
{
    findings found;
    const auto documents = parse_resource_documents("kind: pool\nname: '1'\nspec: {spare: true}\n---\n"
                                                    "[{\"kind\":\"team\",\"name\":\"desk\",\"spec\":{\"share\":0.5}}]",
                                                    "f", found);
    ASSERT_EQ(documents.size(), 2U) << found.to_string();
    EXPECT_EQ(documents[0].m_resource.m_name, "1");
    EXPECT_EQ(documents[0].m_locations.at("spec.spare"), "f:3:15");
    EXPECT_EQ(documents[1].m_resource.m_spec, (nlohmann::json{{"share", 0.5}}));
}

// Guards against aliases that expand without bound, and against a damaged file, such as one with very deep nesting,
// that terminates the process.
TEST(resource_document, rejects_oversized_and_recursive_documents)
{
    std::string text{"a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n"};
    for (int level = 1; level < 12; ++level) {
        const auto name = "a" + std::to_string(level);
        text.append(name).append(": &").append(name).append(" [x");
        for (int repeat = 0; repeat < 6; ++repeat) {
            text.append(", *a").append(std::to_string(level - 1));
        }
        text.append("]\n");
    }
    findings found;
    EXPECT_TRUE(parse_resource_documents(text, "f", found).empty());
    EXPECT_FALSE(found.empty());
    found = {};
    EXPECT_TRUE(parse_resource_documents("&a [*a]", "f", found).empty());
    EXPECT_FALSE(found.empty());
    found = {};
    EXPECT_TRUE(parse_resource_documents(std::string(200'000, '['), "f", found).empty());
    EXPECT_FALSE(found.empty());
}

// Guards against damaged text after a valid start that terminates the process or yields a resource without a name.
RC_GTEST_PROP(resource_document, damaged_text_gives_findings, (std::string text))
{
    findings found;
    for (const auto& document : parse_resource_documents("kind: pool\nname: p\nspec: {}\n" + text, "f", found)) {
        RC_ASSERT(!document.m_resource.m_name.empty());
    }
}

} // namespace
