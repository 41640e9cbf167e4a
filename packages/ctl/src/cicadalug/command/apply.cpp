#include <cicadalug/command/apply.hpp>
#include <cicadalug/document/resource_document.hpp>
#include <cicadalug/model/fleet_view.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <utility>
#include <vector>

namespace cicadalug {

namespace {

using nlohmann::json;
using resource_key = std::pair<resource_kind, std::string>;

/** @brief Order in which the kinds are written: a resource is written after those that it references. */
constexpr std::array write_order{resource_kind::policy, resource_kind::room, resource_kind::team,
                                 resource_kind::pool,   resource_kind::vm,   resource_kind::service,
                                 resource_kind::wave};
/** @brief Most attempts of one write with --force; more conflicts in a row mean that something writes constantly. */
constexpr int max_write_attempts{5};

/** @brief Stored resources by kind and name. */
using current_resources = std::map<resource_key, resource>;

[[nodiscard]] auto read_current(const command_context& context) -> api_result<current_resources>
{
    current_resources current;
    for (const auto kind : write_order) {
        const auto items = context.m_client.list(kind);
        if (!items) {
            return items.assume_error();
        }
        for (const auto& item : items.assume_value()) {
            if (auto read = resource_from_json(item)) {
                const auto name = read.assume_value().m_name;
                current.emplace(resource_key{kind, name}, std::move(read).assume_value());
            }
        }
    }
    return current;
}

/** @brief Validates all documents against the fleet view that results when all of them are applied. */
[[nodiscard]] auto validate_documents(const std::vector<resource_document>& documents, const current_resources& current)
    -> findings
{
    fleet_view view;
    findings found;
    for (const auto& [key, item] : current) {
        // A stored resource that this program version cannot read is not an error of the files.
        static_cast<void>(apply_resource(view, item));
    }
    std::set<resource_key> seen;
    for (const auto& document : documents) {
        const auto& item = document.m_resource;
        if (!seen.emplace(item.m_kind, item.m_name).second) {
            append_with_location(document, findings{"name", "another document has the same kind and name"}, found);
        }
        // Errors of the spec are reported below, together with those of the references.
        static_cast<void>(apply_resource(view, item));
    }
    for (const auto& document : documents) {
        append_with_location(document, validate_resource(document.m_resource, view), found);
    }
    return found;
}

/** @brief Returns the spec with defaults filled in; unchanged if it is invalid, an empty object if item is null. */
[[nodiscard]] auto comparable_spec(const resource* item) -> json
{
    if (item == nullptr) {
        return json::object();
    }
    auto spec = complete_spec(*item);
    return spec ? std::move(spec).assume_value() : item->m_spec;
}

/** @brief Prints the old and the new value of each member that differs. */
auto print_difference(std::ostream& out, const json& before, const json& after) -> void
{
    std::set<std::string> names;
    for (const auto* spec : {&before, &after}) {
        for (const auto& [name, value] : spec->items()) {
            names.insert(name);
        }
    }
    for (const auto& name : names) {
        const auto old_value = before.value(name, json{});
        const auto new_value = after.value(name, json{});
        if (old_value == new_value) {
            continue;
        }
        if (!old_value.is_null()) {
            out << "  - " << name << ": " << old_value.dump() << '\n';
        }
        if (!new_value.is_null()) {
            out << "  + " << name << ": " << new_value.dump() << '\n';
        }
    }
}

/** @brief A resource to write, with its current and its new spec. */
struct planned_write {
    const resource* m_resource{nullptr};
    /** @brief Required current version; zero: the resource must not exist. */
    version m_expected;
    json m_before;
    json m_after;
};

[[nodiscard]] auto plan_writes(const std::vector<resource_document>& documents, const current_resources& current)
    -> std::vector<planned_write>
{
    std::vector<planned_write> writes;
    for (const auto kind : write_order) {
        for (const auto& document : documents) {
            const auto& item = document.m_resource;
            if (item.m_kind != kind) {
                continue;
            }
            const auto position = current.find({item.m_kind, item.m_name});
            const auto* existing = position == current.end() ? nullptr : &position->second;
            const auto current_version = existing == nullptr ? version{} : existing->m_version;
            const auto expected = item.m_version == version{} ? current_version : item.m_version;
            auto before = comparable_spec(existing);
            auto after = comparable_spec(&item);
            // A file that names an outdated version is a version conflict even if it changes nothing.
            if (existing == nullptr || before != after || expected != current_version) {
                writes.push_back({&item, expected, std::move(before), std::move(after)});
            }
        }
    }
    return writes;
}

/** @brief Writes one resource; with force, retries on the current version after a version conflict. */
[[nodiscard]] auto write_resource(const command_context& context, const planned_write& planned, const bool force)
    -> api_result<version>
{
    auto written = context.m_client.put(*planned.m_resource, planned.m_expected);
    for (int attempt = 1; force && attempt < max_write_attempts; ++attempt) {
        if (written || written.assume_error().m_code != exit_code::version_conflict) {
            break;
        }
        written = context.m_client.put(*planned.m_resource, written.assume_error().m_current_version);
    }
    return written;
}

[[nodiscard]] auto write_all(const command_context& context, const apply_options& options,
                             const std::vector<planned_write>& writes) -> exit_code
{
    for (std::size_t index = 0; index < writes.size(); ++index) {
        const auto& planned = writes[index];
        const auto& item = *planned.m_resource;
        const auto* action = planned.m_before.empty() ? "created" : "changed";
        if (options.m_dry_run) {
            report_change(context, item.m_kind, item.m_name, "would be " + std::string{action}, version{});
        }
        else {
            const auto written = write_resource(context, planned, options.m_force);
            if (!written) {
                const auto code =
                    report_failure(context, written.assume_error(), resource_title(item.m_kind, item.m_name));
                context.m_error << index << " of " << writes.size() << " resources were written before.\n";
                return code;
            }
            report_change(context, item.m_kind, item.m_name, action, written.assume_value());
        }
        if (context.m_format == output_format::table) {
            print_difference(context.m_out, planned.m_before, planned.m_after);
        }
    }
    return exit_code::done;
}

} // namespace

auto apply(const command_context& context, const apply_options& options) -> exit_code
{
    findings found;
    const auto documents = load_resource_documents(options.m_path, found);
    const auto current = read_current(context);
    if (!current && found.empty()) {
        return report_failure(context, current.assume_error(), {});
    }
    found.append(validate_documents(documents, current ? current.assume_value() : current_resources{}));
    if (!found.empty()) {
        return report_invalid(context, found);
    }
    const auto writes = plan_writes(documents, current.assume_value());
    const auto code = write_all(context, options, writes);
    if (code == exit_code::done && context.m_format == output_format::table) {
        context.m_out << documents.size() - writes.size() << " of " << documents.size() << " resources unchanged\n";
    }
    return code;
}

} // namespace cicadalug
