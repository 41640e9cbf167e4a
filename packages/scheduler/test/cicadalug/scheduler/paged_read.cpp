#include <cicadalug/scheduler/paged_read.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace cicadalug;

constexpr time_point sent{microseconds{5}};

[[nodiscard]] auto page_of(const std::vector<std::string>& keys, const bool more, const std::uint64_t revision)
    -> store_page
{
    store_page page;
    page.m_status = store_status::ok;
    for (const auto& key : keys) {
        page.m_items.push_back({key, {}, store_revision{1}});
    }
    page.m_more = more;
    page.m_revision = store_revision{revision};
    return page;
}

} // namespace

// Guards against a read that begins again with the first page after a failed one, and never ends on a slow link.
TEST(paged_read, a_failed_page_keeps_the_pages_before_it)
{
    paged_read read;
    EXPECT_EQ(next_page_begin(read), "");
    EXPECT_EQ(add_page(read, page_of({"a", "b"}, true, 7), sent), store_status::ok);
    EXPECT_EQ(add_page(read, store_page{}, sent), store_status::unknown);
    EXPECT_EQ(next_page_begin(read), "b");
    EXPECT_EQ(add_page(read, page_of({"c"}, false, 9), sent), store_status::ok);
    EXPECT_TRUE(read.m_complete);
    EXPECT_EQ(read.m_items.size(), 3U);
}

// Guards against changes between two pages that are in neither the pages nor the changes read after them.
TEST(paged_read, changes_are_followed_from_the_first_page)
{
    paged_read read;
    EXPECT_EQ(add_page(read, page_of({"a"}, true, 7), sent), store_status::ok);
    EXPECT_EQ(add_page(read, page_of({"b"}, false, 9), sent + milliseconds{4}), store_status::ok);
    EXPECT_EQ(read.m_revision, store_revision{7});
    EXPECT_EQ(read.m_sent, sent);
}

// Guards against the same request without an end.
TEST(paged_read, an_empty_page_with_more_items_is_a_failure)
{
    paged_read read;
    EXPECT_EQ(add_page(read, page_of({}, true, 7), sent), store_status::unknown);
    EXPECT_FALSE(read.m_complete);
}
