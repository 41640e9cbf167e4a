#include <cicadalug/base/nearest_name.hpp>
#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/model/json_text.hpp>
#include <cicadalug/model/resource.hpp>
#include <cicadalug/model/spec.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace cicadalug {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 7> member_names{"kind",   "name",     "version", "spec",
                                                       "status", "write_id", "deleted"};
constexpr std::size_t max_name_length{128};
/** @brief Name of the only resource of kind policy. */
constexpr std::string_view policy_resource_name{"default"};

[[nodiscard]] auto is_valid_name(const std::string_view text) -> bool
{
    const auto alphanumeric = [](const char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    return !text.empty() && text.size() <= max_name_length && alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [&alphanumeric](const char c) { return alphanumeric(c) || c == '-' || c == '_' || c == '.'; });
}

template<typename Item>
auto set_id(Item& item, const std::string& name) -> void
{
    if constexpr (requires { item.m_vm; }) {
        item.m_vm = vm_id{name};
    }
    else if constexpr (requires { item.m_id; }) {
        item.m_id = decltype(item.m_id){name};
    }
}

/**
 * @brief Reads the spec of a resource as an aggregate and calls a visitor with the aggregate, as far as it could be
 * read, and the errors.
 */
template<typename Item, typename Visitor>
[[nodiscard]] auto visit_spec_as(const resource& source, const Visitor& visitor) -> findings
{
    Item item;
    set_id(item, source.m_name);
    auto found = read_spec(source.m_spec, item);
    visitor(item, found);
    return found;
}

/** @brief Calls visit_spec_as() with the aggregate type of the kind of a resource. */
template<typename Visitor>
[[nodiscard]] auto visit_spec(const resource& source, const Visitor& visitor) -> findings
{
    switch (source.m_kind) {
    case resource_kind::pool:
        return visit_spec_as<pool>(source, visitor);
    case resource_kind::service:
        return visit_spec_as<service>(source, visitor);
    case resource_kind::wave:
        return visit_spec_as<wave>(source, visitor);
    case resource_kind::team:
        return visit_spec_as<team>(source, visitor);
    case resource_kind::room:
        return visit_spec_as<room>(source, visitor);
    case resource_kind::vm:
        return visit_spec_as<vm_assignment>(source, visitor);
    case resource_kind::policy:
        return visit_spec_as<planning_policy>(source, visitor);
    }
    return findings{"kind", "is unknown"};
}

template<typename Map>
[[nodiscard]] auto names_of(const Map& map) -> std::vector<std::string_view>
{
    std::vector<std::string_view> names;
    names.reserve(map.size());
    for (const auto& [id, item] : map) {
        names.push_back(id.str());
    }
    return names;
}

/** @brief Adds a finding if a map has no entry for an id. An empty id is not a reference. */
template<typename Map>
auto check_reference(const Map& map, const typename Map::key_type& id, const std::string_view what, std::string place,
                     findings& found) -> void
{
    if (!id.empty() && !map.contains(id)) {
        const auto names = names_of(map);
        found.add(std::move(place), names.empty() ? "unknown " + std::string{what} + " '" + id.str() + "'"
                                                  : unknown_name_message(what, id.str(), names));
    }
}

/** @brief Checks that the resources that an aggregate refers to exist, and that there is only one spare pool. */
class reference_checker {
public:
    reference_checker(const fleet_view& view, findings& found) : m_view{view}, m_found{found} {}

    auto operator()(const pool& item) const -> void
    {
        if (!item.m_spare) {
            return;
        }
        for (const auto& [id, other] : m_view.m_pools) {
            if (other.m_spare && id != item.m_id) {
                m_found.add("spec.spare", "pool '" + id.str() + "' is the spare pool already");
            }
        }
    }

    auto operator()(const service& item) const -> void
    {
        check_reference(m_view.m_pools, item.m_pool, "pool", "spec.pool", m_found);
    }

    auto operator()(const wave& item) const -> void
    {
        for (std::size_t index = 0; index < item.m_pools.size(); ++index) {
            check_reference(m_view.m_pools, item.m_pools[index], "pool", "spec.pools[" + std::to_string(index) + ']',
                            m_found);
        }
    }

    auto operator()(const vm_assignment& item) const -> void
    {
        check_reference(m_view.m_pools, item.m_pool, "pool", "spec.pool", m_found);
        // The name of the VM is not checked: a view holds the VM records of one zone only, and the VM may be in
        // another.
    }

    auto operator()(const team& /*item*/) const -> void {}
    auto operator()(const room& /*item*/) const -> void {}
    auto operator()(const planning_policy& /*item*/) const -> void {}

private:
    const fleet_view& m_view;
    findings& m_found;
};

/** @brief Reports everything that still refers to a pool that is to be deleted. */
[[nodiscard]] auto check_pool_unused(const pool_id& id, const fleet_view& view) -> findings
{
    findings found;
    for (const auto& [name, item] : view.m_services) {
        if (item.m_pool == id) {
            found.add("name", "service '" + name.str() + "' is placed on this pool");
        }
    }
    for (const auto& [name, item] : view.m_waves) {
        if (std::find(item.m_pools.begin(), item.m_pools.end(), id) != item.m_pools.end()) {
            found.add("name", "wave '" + name.str() + "' targets this pool");
        }
    }
    for (const auto& [name, item] : view.m_assignments) {
        if (item.m_pool == id) {
            found.add("name", "VM '" + name.str() + "' is assigned to this pool");
        }
    }
    const auto members = std::count_if(view.m_vms.begin(), view.m_vms.end(), [&id](const auto& entry) {
        return entry.second.m_pool == id || entry.second.m_target_pool == id;
    });
    if (members > 0) {
        found.add("name", std::to_string(members) + " VMs belong to this pool");
    }
    return found;
}

/** @brief Resource, as far as it could be read, and the errors in its structure. */
struct parsed_resource {
    resource m_resource;
    findings m_found;
    bool m_kind_known{false};
};

auto read_version(const json& value, parsed_resource& parsed) -> void
{
    const auto position = value.find("version");
    if (position == value.end()) {
        return;
    }
    if (position->is_number_unsigned()) {
        parsed.m_resource.m_version = version{position->get<std::uint64_t>()};
    }
    else {
        parsed.m_found.add("version", "must be an integer of at least 0");
    }
}

auto read_kind(const json& value, parsed_resource& parsed) -> void
{
    const auto position = value.find("kind");
    if (position == value.end() || !position->is_string()) {
        parsed.m_found.add("kind", position == value.end() ? "is missing" : "must be a string");
        return;
    }
    const auto& text = position->get_ref<const std::string&>();
    if (const auto kind = parse_resource_kind(text)) {
        parsed.m_resource.m_kind = *kind;
        parsed.m_kind_known = true;
    }
    else {
        parsed.m_found.add("kind", unknown_name_message("kind", text, resource_kind_names));
    }
}

auto read_name(const json& value, parsed_resource& parsed) -> void
{
    const auto position = value.find("name");
    if (position == value.end()) {
        parsed.m_found.add("name", "is missing");
    }
    else if (!position->is_string() || !is_valid_name(position->get_ref<const std::string&>())) {
        parsed.m_found.add("name",
                           "must be 1 to 128 letters, digits, '-', '_' and '.', and begin with a letter or digit");
    }
    else {
        parsed.m_resource.m_name = position->get<std::string>();
    }
}

auto read_write_metadata(const json& value, parsed_resource& parsed) -> void
{
    if (const auto position = value.find("write_id"); position != value.end()) {
        if (position->is_string()) {
            parsed.m_resource.m_write_id = write_id{position->get<std::string>()};
        }
        else {
            parsed.m_found.add("write_id", "must be a string");
        }
    }
    if (const auto position = value.find("deleted"); position != value.end()) {
        if (position->is_boolean()) {
            parsed.m_resource.m_deleted = position->get<bool>();
        }
        else {
            parsed.m_found.add("deleted", "must be true or false");
        }
    }
}

[[nodiscard]] auto parse_structure(const json& value) -> parsed_resource
{
    parsed_resource parsed;
    if (!value.is_object()) {
        parsed.m_found.add("document", "must be an object with kind, name and spec");
        return parsed;
    }
    read_kind(value, parsed);
    read_name(value, parsed);
    read_version(value, parsed);
    read_write_metadata(value, parsed);
    if (const auto position = value.find("spec"); position != value.end()) {
        parsed.m_resource.m_spec = *position;
    }
    else if (!parsed.m_resource.m_deleted) {
        parsed.m_found.add("spec", "is missing");
    }
    for (const auto& [name, ignored] : value.items()) {
        if (std::find(member_names.begin(), member_names.end(), name) == member_names.end()) {
            parsed.m_found.add(name.substr(0, max_name_length), unknown_name_message("member", name, member_names));
        }
    }
    return parsed;
}

/** @brief Checks whether the spec of a resource with errors can still be validated. */
[[nodiscard]] auto has_checkable_spec(const parsed_resource& parsed) -> bool
{
    return parsed.m_kind_known && !parsed.m_resource.m_deleted && !parsed.m_resource.m_spec.is_null();
}

} // namespace

auto parse_resource(const std::string_view text) -> result<resource>
{
    const auto value = parse_json_text(text);
    if (!value) {
        return value.assume_error();
    }
    return resource_from_json(value.assume_value());
}

auto resource_from_json(const json& value) -> result<resource>
{
    auto parsed = parse_structure(value);
    if (parsed.m_found.empty()) {
        return std::move(parsed.m_resource);
    }
    if (has_checkable_spec(parsed)) {
        parsed.m_found.append(visit_spec(parsed.m_resource, [](const auto&, const findings&) {}));
    }
    return std::move(parsed.m_found);
}

auto parse_and_validate_resource(const std::string_view text, const fleet_view& view) -> result<resource>
{
    const auto value = parse_json_text(text);
    if (!value) {
        return value.assume_error();
    }
    auto parsed = parse_structure(value.assume_value());
    if (parsed.m_found.empty() || has_checkable_spec(parsed)) {
        parsed.m_found.append(validate_resource(parsed.m_resource, view));
    }
    if (!parsed.m_found.empty()) {
        return std::move(parsed.m_found);
    }
    return std::move(parsed.m_resource);
}

auto to_json(const resource& item) -> json
{
    json value{{"kind", to_string(item.m_kind)}, {"name", item.m_name}, {"version", item.m_version.value()}};
    if (!item.m_spec.is_null()) {
        value["spec"] = item.m_spec;
    }
    if (!item.m_write_id.empty()) {
        value["write_id"] = item.m_write_id.str();
    }
    if (item.m_deleted) {
        value["deleted"] = true;
    }
    return value;
}

auto validate_resource(const resource& item, const fleet_view& view) -> findings
{
    if (item.m_deleted) {
        return item.m_kind == resource_kind::pool ? check_pool_unused(pool_id{item.m_name}, view) : findings{};
    }
    findings found;
    if (item.m_kind == resource_kind::policy && item.m_name != policy_resource_name) {
        found.add("name", "the one resource of kind policy is named 'default'");
    }
    findings references;
    const reference_checker check{view, references};
    found.append(visit_spec(item, [&check](const auto& aggregate, const findings&) { check(aggregate); }));
    found.append(references);
    return found;
}

namespace {

/** @brief Inserts an aggregate into the corresponding table of a view. */
class view_inserter {
public:
    explicit view_inserter(fleet_view& view) : m_view{view} {}

    auto operator()(const pool& item) const -> void { m_view.m_pools.insert_or_assign(item.m_id, item); }
    auto operator()(const service& item) const -> void { m_view.m_services.insert_or_assign(item.m_id, item); }
    auto operator()(const wave& item) const -> void { m_view.m_waves.insert_or_assign(item.m_id, item); }
    auto operator()(const team& item) const -> void { m_view.m_teams.insert_or_assign(item.m_id, item); }
    auto operator()(const room& item) const -> void { m_view.m_rooms.insert_or_assign(item.m_id, item); }
    auto operator()(const vm_assignment& item) const -> void { m_view.m_assignments.insert_or_assign(item.m_vm, item); }
    auto operator()(const planning_policy& item) const -> void { m_view.m_policy = item; }

private:
    fleet_view& m_view;
};

auto erase(fleet_view& view, const resource_kind kind, const std::string& name) -> void
{
    switch (kind) {
    case resource_kind::pool:
        view.m_pools.erase(pool_id{name});
        break;
    case resource_kind::service:
        view.m_services.erase(service_id{name});
        break;
    case resource_kind::wave:
        view.m_waves.erase(wave_id{name});
        break;
    case resource_kind::team:
        view.m_teams.erase(team_id{name});
        break;
    case resource_kind::room:
        view.m_rooms.erase(room_id{name});
        break;
    case resource_kind::vm:
        view.m_assignments.erase(vm_id{name});
        break;
    case resource_kind::policy:
        view.m_policy = {};
        break;
    }
}

} // namespace

auto complete_spec(const resource& item) -> result<json>
{
    json spec;
    auto found = visit_spec(item, [&spec](const auto& aggregate, const findings&) { spec = to_spec(aggregate); });
    if (!found.empty()) {
        return found;
    }
    return spec;
}

auto apply_resource(fleet_view& view, const resource& item) -> findings
{
    findings found;
    if (item.m_deleted) {
        erase(view, item.m_kind, item.m_name);
    }
    else {
        const view_inserter insert{view};
        found = visit_spec(item, [&insert](const auto& aggregate, const findings& errors) {
            if (errors.empty()) {
                insert(aggregate);
            }
        });
    }
    if (found.empty()) {
        view.m_version = std::max(view.m_version, item.m_version);
    }
    return found;
}

} // namespace cicadalug
