#include <cicadalug/base/nearest_name.hpp>
#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/model/spec.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace cicadalug {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 3> degradation_action_names{"throttle", "checkpoint", "stop"};
/** @brief Largest count of VMs, requests or steps in a spec; far above the sizes that the system is designed for. */
constexpr std::int64_t max_count{1'000'000};
/** @brief Longest duration in a spec: one week, longer than any deadline or timeout that an operator needs. */
constexpr std::int64_t max_duration_ms{7LL * 24 * 3'600 * 1'000};
/** @brief Largest power in a spec: 1 TW. Prevents overflow of 64-bit sums of powers. */
constexpr std::int64_t max_watts{1'000'000'000'000};

struct number_range {
    double m_min{0};
    double m_max{0};
};

enum class presence : std::uint8_t { optional, required };

template<typename Visitor>
auto visit_members(Visitor& visitor, pool& item) -> void
{
    visitor.boolean("spare", item.m_spare);
}

template<typename Visitor>
auto visit_members(Visitor& visitor, degradation_step& item) -> void
{
    visitor.choice("action", item.m_action, degradation_action_names);
    visitor.integer("vms", item.m_vms, {1, max_count}, presence::required);
    visitor.integer("saved_watts_per_vm", item.m_saved_per_vm, {0, max_watts}, presence::required);
}

template<typename Visitor>
auto visit_members(Visitor& visitor, service& item) -> void
{
    visitor.id("pool", item.m_pool, presence::required);
    visitor.integer("promised_vms", item.m_promised_vms, {0, max_count}, presence::required);
    visitor.integer("default_deadline_ms", item.m_default_deadline, {1, max_duration_ms});
    visitor.integer("queue_limit", item.m_queue_limit, {0, max_count});
    visitor.real("retry_ratio", item.m_retry_ratio, {0, 1});
    visitor.integer("declared_run_time_ms", item.m_declared_run_time, {1, max_duration_ms});
    visitor.objects("bend", item.m_degradation_steps);
}

template<typename Visitor>
auto visit_members(Visitor& visitor, wave& item) -> void
{
    visitor.ids("pools", item.m_pools);
    visitor.integer("batch_limit", item.m_batch_limit, {0, max_count});
    visitor.integer("drain_timeout_ms", item.m_drain_timeout, {1, max_duration_ms});
    visitor.integer("reboot_timeout_ms", item.m_reboot_timeout, {1, max_duration_ms});
    visitor.boolean("paused", item.m_paused);
}

template<typename Visitor>
auto visit_members(Visitor& visitor, team& item) -> void
{
    visitor.real("share", item.m_share, {0, 1}, presence::required);
}

template<typename Visitor>
auto visit_members(Visitor& visitor, room& item) -> void
{
    visitor.integer("limit_watts", item.m_limit, {0, max_watts}, presence::required);
}

template<typename Visitor>
auto visit_members(Visitor& visitor, vm_assignment& item) -> void
{
    visitor.id("pool", item.m_pool);
    visitor.boolean("drain", item.m_drain);
}

template<typename Visitor>
auto visit_members(Visitor& visitor, planning_policy& item) -> void
{
    constexpr number_range weight{0, 1e9};
    visitor.real("buffer_weight", item.m_buffer_weight, weight);
    visitor.real("roll_out_weight", item.m_roll_out_weight, weight);
    visitor.real("moves_weight", item.m_moves_weight, weight);
}

/** @brief Returns the underlying integer of an integer, a duration or a strong number. */
template<typename Number>
[[nodiscard]] auto to_raw_integer(const Number& number) -> std::int64_t
{
    if constexpr (std::is_integral_v<Number>) {
        return number;
    }
    else if constexpr (requires { number.count(); }) {
        return number.count();
    }
    else {
        return number.value();
    }
}

/** @brief Writes the members of an aggregate into a JSON object. */
class spec_writer {
public:
    auto boolean(const std::string_view name, const bool value) -> void { m_spec[std::string{name}] = value; }

    template<typename Number>
    auto integer(const std::string_view name, const Number& value, number_range /*range*/,
                 presence /*needed*/ = presence::optional) -> void
    {
        m_spec[std::string{name}] = to_raw_integer(value);
    }

    auto real(const std::string_view name, const double value, number_range /*range*/,
              presence /*needed*/ = presence::optional) -> void
    {
        m_spec[std::string{name}] = value;
    }

    template<typename Id>
    auto id(const std::string_view name, const Id& value, presence /*needed*/ = presence::optional) -> void
    {
        if (!value.empty()) {
            m_spec[std::string{name}] = value.str();
        }
    }

    template<typename Id>
    auto ids(const std::string_view name, const std::vector<Id>& values) -> void
    {
        auto list = json::array();
        for (const auto& value : values) {
            list.push_back(value.str());
        }
        m_spec[std::string{name}] = std::move(list);
    }

    template<typename Choice>
    auto choice(const std::string_view name, const Choice value, const std::span<const std::string_view> names) -> void
    {
        m_spec[std::string{name}] = names[static_cast<std::size_t>(value)];
    }

    template<typename Item>
    auto objects(const std::string_view name, const std::vector<Item>& items) -> void
    {
        auto list = json::array();
        for (auto item : items) {
            spec_writer item_writer;
            visit_members(item_writer, item);
            list.push_back(std::move(item_writer.m_spec));
        }
        m_spec[std::string{name}] = std::move(list);
    }

    json m_spec = json::object();
};

/** @brief Reads the members of an aggregate from a JSON object and collects all errors. */
class spec_reader {
public:
    explicit spec_reader(const json& spec) : m_spec{spec} {}

    auto boolean(const std::string_view name, bool& value) -> void
    {
        if (const auto* member = find(name, presence::optional)) {
            if (member->is_boolean()) {
                value = member->get<bool>();
            }
            else {
                m_found.add(std::string{name}, "must be true or false");
            }
        }
    }

    template<typename Number>
    auto integer(const std::string_view name, Number& value, const number_range range,
                 const presence needed = presence::optional) -> void
    {
        const auto* member = find(name, needed);
        if (member == nullptr) {
            return;
        }
        if (!member->is_number_integer()) {
            m_found.add(std::string{name}, "must be an integer");
        }
        else if (const auto number = member->get<double>(); number < range.m_min || number > range.m_max) {
            m_found.add(std::string{name}, "must be from " + std::to_string(std::int64_t(range.m_min)) + " to " +
                                               std::to_string(std::int64_t(range.m_max)));
        }
        else if constexpr (std::is_integral_v<Number>) {
            value = static_cast<Number>(member->get<std::int64_t>());
        }
        else {
            value = Number{member->get<std::int64_t>()};
        }
    }

    auto real(const std::string_view name, double& value, const number_range range,
              const presence needed = presence::optional) -> void
    {
        const auto* member = find(name, needed);
        if (member == nullptr) {
            return;
        }
        if (!member->is_number()) {
            m_found.add(std::string{name}, "must be a number");
        }
        else if (const auto number = member->get<double>(); !(number >= range.m_min && number <= range.m_max)) {
            m_found.add(std::string{name}, "must be from " + std::to_string(std::int64_t(range.m_min)) + " to " +
                                               std::to_string(std::int64_t(range.m_max)));
        }
        else {
            value = number;
        }
    }

    template<typename Id>
    auto id(const std::string_view name, Id& value, const presence needed = presence::optional) -> void
    {
        if (const auto* member = find(name, needed)) {
            read_id(std::string{name}, *member, value);
        }
    }

    template<typename Id>
    auto ids(const std::string_view name, std::vector<Id>& values) -> void
    {
        const auto* member = find(name, presence::required);
        if (member == nullptr) {
            return;
        }
        values.clear();
        if (!member->is_array() || member->empty()) {
            m_found.add(std::string{name}, "must be a list of at least one name");
            return;
        }
        for (std::size_t index = 0; index < member->size(); ++index) {
            const auto place = std::string{name} + '[' + std::to_string(index) + ']';
            Id value;
            read_id(place, (*member)[index], value);
            if (!value.empty() && std::find(values.begin(), values.end(), value) != values.end()) {
                m_found.add(place, "names '" + value.str() + "' a second time");
            }
            values.push_back(std::move(value));
        }
    }

    template<typename Choice>
    auto choice(const std::string_view name, Choice& value, const std::span<const std::string_view> names) -> void
    {
        const auto* member = find(name, presence::required);
        if (member == nullptr) {
            return;
        }
        if (!member->is_string()) {
            m_found.add(std::string{name}, "must be a string");
            return;
        }
        const auto& text = member->get_ref<const std::string&>();
        const auto position = std::find(names.begin(), names.end(), text);
        if (position == names.end()) {
            m_found.add(std::string{name}, unknown_name_message(name, text, names));
            return;
        }
        value = static_cast<Choice>(position - names.begin());
    }

    template<typename Item>
    auto objects(const std::string_view name, std::vector<Item>& items) -> void
    {
        const auto* member = find(name, presence::optional);
        if (member == nullptr) {
            return;
        }
        items.clear();
        if (!member->is_array()) {
            m_found.add(std::string{name}, "must be a list of objects");
            return;
        }
        for (std::size_t index = 0; index < member->size(); ++index) {
            const auto place = std::string{name} + '[' + std::to_string(index) + ']';
            Item item;
            spec_reader item_reader{(*member)[index]};
            m_found.append(item_reader.read(item), place);
            items.push_back(std::move(item));
        }
    }

    /**
     * @brief Reads an aggregate and reports unknown members. Unless the value is not an object, the location of each
     * finding begins with ".".
     */
    template<typename Item>
    [[nodiscard]] auto read(Item& item) -> findings
    {
        if (!m_spec.is_object()) {
            return findings{"", "must be an object"};
        }
        visit_members(*this, item);
        findings all;
        all.append(m_found, ".");
        for (const auto& [name, value] : m_spec.items()) {
            if (std::find(m_known.begin(), m_known.end(), name) == m_known.end()) {
                all.add('.' + name.substr(0, max_echoed_name_length), unknown_name_message("member", name, m_known));
            }
        }
        return all;
    }

private:
    /** @brief Longest part of the name of an unknown member that is included in the location of a finding. */
    static constexpr std::size_t max_echoed_name_length{64};

    [[nodiscard]] auto find(const std::string_view name, const presence needed) -> const json*
    {
        m_known.push_back(name);
        const auto position = m_spec.find(std::string{name});
        if (position != m_spec.end()) {
            return &*position;
        }
        if (needed == presence::required) {
            m_found.add(std::string{name}, "is missing");
        }
        return nullptr;
    }

    template<typename Id>
    auto read_id(const std::string& place, const json& member, Id& value) -> void
    {
        if (!member.is_string() || member.get_ref<const std::string&>().empty()) {
            m_found.add(place, "must be a name");
            return;
        }
        value = Id{member.get<std::string>()};
    }

    const json& m_spec;
    std::vector<std::string_view> m_known;
    findings m_found;
};

template<typename Item>
[[nodiscard]] auto write(Item item) -> json
{
    spec_writer writer;
    visit_members(writer, item);
    return std::move(writer.m_spec);
}

template<typename Item>
[[nodiscard]] auto read(const json& spec, Item& item) -> findings
{
    findings found;
    found.append(spec_reader{spec}.read(item), "spec");
    return found;
}

} // namespace

auto to_spec(const pool& item) -> json
{
    return write(item);
}

auto to_spec(const service& item) -> json
{
    return write(item);
}

auto to_spec(const wave& item) -> json
{
    return write(item);
}

auto to_spec(const team& item) -> json
{
    return write(item);
}

auto to_spec(const room& item) -> json
{
    return write(item);
}

auto to_spec(const vm_assignment& item) -> json
{
    return write(item);
}

auto to_spec(const planning_policy& item) -> json
{
    return write(item);
}

auto read_spec(const json& spec, pool& item) -> findings
{
    return read(spec, item);
}

auto read_spec(const json& spec, service& item) -> findings
{
    return read(spec, item);
}

auto read_spec(const json& spec, wave& item) -> findings
{
    return read(spec, item);
}

auto read_spec(const json& spec, team& item) -> findings
{
    return read(spec, item);
}

auto read_spec(const json& spec, room& item) -> findings
{
    return read(spec, item);
}

auto read_spec(const json& spec, vm_assignment& item) -> findings
{
    return read(spec, item);
}

auto read_spec(const json& spec, planning_policy& item) -> findings
{
    return read(spec, item);
}

} // namespace cicadalug
