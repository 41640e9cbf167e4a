#ifndef CICADALUG_MODEL_RESOURCE_HPP
#define CICADALUG_MODEL_RESOURCE_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>
#include <cicadalug/model/resource_kind.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace cicadalug {

// Declared here, because the linter takes model/fwd.hpp's service for Asio's where both are included.
struct fleet_view;

/** @brief One declared resource of the operators, as it is stored and passed between entry VMs. */
struct resource {
    resource_kind m_kind{resource_kind::pool};
    /** @brief Name, unique within the kind: letters, digits, '-', '_' and '.'. */
    std::string m_name;
    /** @brief Version of the write that made this value; zero before the first write. */
    version m_version;
    /** @brief JSON form of the aggregate, see spec.hpp; null if deleted. */
    nlohmann::json m_spec;
    /** @brief Identifies the write that made this value; empty in what an operator sends. */
    write_id m_write_id;
    /** @brief True for a tombstone. */
    bool m_deleted{false};

    [[nodiscard]] friend auto operator==(const resource&, const resource&) -> bool = default;
};

/**
 * @brief Parses the JSON form {"kind","name","version","spec","status","write_id","deleted"}. The status is ignored.
 * @param text The JSON text.
 * @return The resource, or all faults of its shape; with them also those of its spec. A spec is not checked otherwise,
 * so that a copy from a newer program can be kept.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto parse_resource(std::string_view text) -> result<resource>;

/**
 * @brief Reads the JSON form from a parsed value.
 * @param value The value.
 * @return As parse_resource(text).
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto resource_from_json(const nlohmann::json& value) -> result<resource>;

/**
 * @brief Parses and validates a resource and reports the faults of its shape, its spec and its references together.
 * @param text The JSON text.
 * @param view What the references are checked against.
 * @return The resource, or all faults.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto parse_and_validate_resource(std::string_view text, const fleet_view& view) -> result<resource>;

/**
 * @brief Returns the JSON form of a resource. The members "write_id" and "deleted" are left out if empty or false.
 * @param item The resource.
 * @return A JSON object that parse_resource() reads.
 */
[[nodiscard]] auto to_json(const resource& item) -> nlohmann::json;

/**
 * @brief Checks a resource before it is written. For a deleted one, checks that no other resource refers to it.
 * @param item The resource.
 * @param view What the references are checked against.
 * @return All faults with their place, for example "spec.pool".
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto validate_resource(const resource& item, const fleet_view& view) -> findings;

/**
 * @brief Fills in the members that the spec of a resource leaves out, so that two specs can be compared.
 * @param item The resource, not deleted.
 * @return The complete spec, or the faults of the spec.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto complete_spec(const resource& item) -> result<nlohmann::json>;

/**
 * @brief Puts a resource into a view, or takes a deleted one out, and raises the version of the view.
 * @param view The view, not yet shared.
 * @param item The resource. References to missing resources are allowed.
 * @return Faults of the spec; the view is unchanged if there are any.
 */
[[nodiscard]] auto apply_resource(fleet_view& view, const resource& item) -> findings;

} // namespace cicadalug

#endif
