#ifndef CICADALUG_MODEL_RESOURCE_HPP
#define CICADALUG_MODEL_RESOURCE_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>
#include <cicadalug/model/resource_kind.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace cicadalug {

// Declared here instead of including model/fwd.hpp: where both are included, the linter confuses its service with
// Asio's.
struct fleet_view;

/** @brief One resource declared by an operator, as it is stored and replicated between entry VMs. */
struct resource {
    resource_kind m_kind{resource_kind::pool};
    /** @brief Name, unique within the kind: letters, digits, '-', '_' and '.'. */
    std::string m_name;
    /** @brief Version of the write that produced this value; zero before the first write. */
    version m_version;
    /** @brief JSON form of the aggregate, see spec.hpp; null if deleted. */
    nlohmann::json m_spec;
    /** @brief Identifies the write that produced this value; empty in a resource that an operator sends. */
    write_id m_write_id;
    /** @brief True for a tombstone. */
    bool m_deleted{false};

    [[nodiscard]] friend auto operator==(const resource&, const resource&) -> bool = default;
};

/**
 * @brief Parses the JSON form {"kind","name","version","spec","status","write_id","deleted"}. The status is ignored.
 * @param text The JSON text.
 * @return The resource, or all errors in its structure, then together with those in its spec. The spec of a resource
 * with a valid structure is not checked, so that a copy from a newer version of the program can be kept.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto parse_resource(std::string_view text) -> result<resource>;

/**
 * @brief Reads a resource from its parsed JSON form.
 * @param value The value.
 * @return Same as parse_resource(text).
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto resource_from_json(const nlohmann::json& value) -> result<resource>;

/**
 * @brief Parses and validates a resource and reports the errors in its structure, spec and references together.
 * @param text The JSON text.
 * @param view View that the references are checked against.
 * @return The resource, or all errors.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto parse_and_validate_resource(std::string_view text, const fleet_view& view) -> result<resource>;

/**
 * @brief Returns the JSON form of a resource. The members "spec", "write_id" and "deleted" are omitted if null, empty
 * or false.
 * @param item The resource.
 * @return A JSON object that parse_resource() accepts.
 */
[[nodiscard]] auto to_json(const resource& item) -> nlohmann::json;

/**
 * @brief Validates a resource before it is written. For a deleted pool, checks that nothing refers to it any more.
 * @param item The resource.
 * @param view View that the references are checked against.
 * @return All errors with their location, for example "spec.pool".
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto validate_resource(const resource& item, const fleet_view& view) -> findings;

/**
 * @brief Fills in the defaults of the members that the spec of a resource omits, so that two specs can be compared.
 * @param item The resource, not deleted.
 * @return The complete spec, or the errors in the spec.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto complete_spec(const resource& item) -> result<nlohmann::json>;

/**
 * @brief Inserts a resource into a view, or removes a deleted one, and raises the version of the view.
 * @param view The view.
 * @pre The view is not shared yet.
 * @param item The resource. References to missing resources are allowed.
 * @return Errors in the spec; if there are any, the view is unchanged.
 */
[[nodiscard]] auto apply_resource(fleet_view& view, const resource& item) -> findings;

} // namespace cicadalug

#endif
