#ifndef CICADALUG_API_PRECONDITION_HPP
#define CICADALUG_API_PRECONDITION_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/base/ids.hpp>

#include <string_view>

namespace cicadalug {

/** @brief Precondition of a write on the current state of the resource. */
struct write_precondition {
    /** @brief True if the resource must not exist. */
    bool m_create{false};
    /** @brief Version that the resource must have if it has to exist. */
    version m_version;
};

/**
 * @brief Parses the precondition of a write from its headers.
 * @param if_match Value of If-Match, a version with or without quotes; empty if the header is absent.
 * @param if_none_match Value of If-None-Match; empty if the header is absent.
 * @param found Receives a finding if there is not exactly one valid precondition.
 * @return The precondition; meaningless after a finding.
 */
[[nodiscard]] auto parse_precondition(std::string_view if_match, std::string_view if_none_match, findings& found)
    -> write_precondition;

} // namespace cicadalug

#endif
