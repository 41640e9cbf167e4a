#ifndef CICADALUG_SCHEDULER_PAGED_READ_HPP
#define CICADALUG_SCHEDULER_PAGED_READ_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/store_types.hpp>

#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug {

/**
 * @brief Pages of all items with a prefix that have been read so far. A read that fails continues after the last page,
 * so that it ends even if each attempt gets only one page. The pages are not a snapshot; with the changes after the
 * revision of the first page, they are complete.
 */
struct paged_read {
    std::vector<store_item> m_items;
    /** @brief Revision of the first page. */
    store_revision m_revision;
    /** @brief When the first page was requested: the items contain at least all changes before it. */
    time_point m_sent{};
    int m_pages{0};
    bool m_complete{false};
};

/** @brief Returns the key after which the next page begins; empty for the first page. */
[[nodiscard]] inline auto next_page_begin(const paged_read& read) -> std::string
{
    return read.m_items.empty() ? std::string{} : read.m_items.back().m_key;
}

/**
 * @brief Adds the response to a request for the next page. A failed one changes nothing.
 * @param read Pages so far. @pre They are not complete.
 * @param page The response.
 * @param sent When the page was requested.
 * @return Its status; unknown if it has no items although more exist.
 */
[[nodiscard]] inline auto add_page(paged_read& read, store_page page, const time_point sent) -> store_status
{
    if (page.m_status != store_status::ok) {
        return page.m_status;
    }
    if (page.m_more && page.m_items.empty()) {
        return store_status::unknown;
    }
    if (read.m_pages == 0) {
        read.m_revision = page.m_revision;
        read.m_sent = sent;
    }
    ++read.m_pages;
    read.m_complete = !page.m_more;
    std::move(page.m_items.begin(), page.m_items.end(), std::back_inserter(read.m_items));
    return store_status::ok;
}

} // namespace cicadalug

#endif
