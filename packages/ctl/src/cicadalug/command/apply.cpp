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

/** @brief Kinds in the order in which they are written: a resource comes after those it refers to. */
constexpr std::array write_order{resource_kind::policy, resource_kind::room, resource_kind::team,
                                 resource_kind::pool,   resource_kind::vm,   resource_kind::service,
                                 resource_kind::wave};
/** @brief Times that --force repeats a write; more losses in a row mean that something writes all the time. */
constexpr int force_attempts{5};

/** @brief Resources in force. */
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

/** @brief Checks all documents against the view that would be in force after all of them. */
[[nodiscard]] auto check(const std::vector<resource_document>& documents, const current_resources& current) -> findings
{
    fleet_view view;
    findings found;
    for (const auto& [key, item] : current) {
        // A stored resource that this program cannot read is not the fault of the files.
        static_cast<void>(apply_resource(view, item));
    }
    std::set<resource_key> seen;
    for (const auto& document : documents) {
        const auto& item = document.m_resource;
        if (!seen.emplace(item.m_kind, item.m_name).second) {
            append_located(document, findings{"name", "another document has the same kind and name"}, found);
        }
        // The faults of the spec are reported below, together with the faults of the references.
        static_cast<void>(apply_resource(view, item));
    }
    for (const auto& document : documents) {
        append_located(document, validate_resource(document.m_resource, view), found);
    }
    return found;
}

/** @brief Returns the complete spec of a resource in force, an empty object if there is none or it is unreadable. */
[[nodiscard]] auto spec_in_force(const resource* item) -> json
{
    if (item == nullptr) {
        return json::object();
    }
    auto spec = complete_spec(*item);
    return spec ? std::move(spec).assume_value() : item->m_spec;
}

/** @brief Writes one line for each member that differs. */
auto write_difference(std::ostream& out, const json& before, const json& after) -> void
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

/** @brief One resource that is to be written. */
struct planned_write {
    const resource* m_resource{nullptr};
    /** @brief Version it must have; zero: it must not exist. */
    version m_expected;
    json m_before;
    json m_after;
};

[[nodiscard]] auto plan(const std::vector<resource_document>& documents, const current_resources& current)
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
            const auto* in_force = position == current.end() ? nullptr : &position->second;
            const auto read_version = in_force == nullptr ? version{} : in_force->m_version;
            const auto expected = item.m_version == version{} ? read_version : item.m_version;
            auto before = spec_in_force(in_force);
            auto after = spec_in_force(&item);
            // A file that names an outdated version is a lost race even if it changes nothing.
            if (in_force == nullptr || before != after || expected != read_version) {
                writes.push_back({&item, expected, std::move(before), std::move(after)});
            }
        }
    }
    return writes;
}

/** @brief Writes one resource; with --force also after lost races. */
[[nodiscard]] auto write(const command_context& context, const planned_write& planned, const bool force)
    -> api_result<version>
{
    auto written = context.m_client.put(*planned.m_resource, planned.m_expected);
    for (int attempt = 1; force && attempt < force_attempts; ++attempt) {
        if (written || written.assume_error().m_code != exit_code::lost_race) {
            break;
        }
        written = context.m_client.put(*planned.m_resource, written.assume_error().m_current);
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
            const auto written = write(context, planned, options.m_force);
            if (!written) {
                const auto code = report(context, written.assume_error(), resource_title(item.m_kind, item.m_name));
                context.m_error << index << " of " << writes.size() << " resources were written before.\n";
                return code;
            }
            report_change(context, item.m_kind, item.m_name, action, written.assume_value());
        }
        if (context.m_format == output_format::table) {
            write_difference(context.m_out, planned.m_before, planned.m_after);
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
        return report(context, current.assume_error(), {});
    }
    found.append(check(documents, current ? current.assume_value() : current_resources{}));
    if (!found.empty()) {
        return report_invalid(context, found);
    }
    const auto writes = plan(documents, current.assume_value());
    const auto code = write_all(context, options, writes);
    if (code == exit_code::done && context.m_format == output_format::table) {
        context.m_out << documents.size() - writes.size() << " of " << documents.size() << " resources unchanged\n";
    }
    return code;
}

} // namespace cicadalug
