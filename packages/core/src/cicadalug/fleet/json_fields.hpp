#ifndef CICADALUG_FLEET_JSON_FIELDS_HPP
#define CICADALUG_FLEET_JSON_FIELDS_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/base/strong_id.hpp>
#include <cicadalug/base/strong_number.hpp>

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace cicadalug::internal {

/** @brief Converts one JSON value. @return False if the value has another type or is out of range. */
[[nodiscard]] inline auto read_value(const nlohmann::json& json, std::string& value) -> bool
{
    if (json.is_string()) {
        value = json.get<std::string>();
    }
    return json.is_string();
}

[[nodiscard]] inline auto read_value(const nlohmann::json& json, bool& value) -> bool
{
    if (json.is_boolean()) {
        value = json.get<bool>();
    }
    return json.is_boolean();
}

template<std::integral Number>
[[nodiscard]] auto read_value(const nlohmann::json& json, Number& value) -> bool
{
    if (json.is_number_unsigned()) {
        const auto raw = json.get<std::uint64_t>();
        value = static_cast<Number>(raw);
        return std::in_range<Number>(raw);
    }
    if (json.is_number_integer()) {
        const auto raw = json.get<std::int64_t>();
        value = static_cast<Number>(raw);
        return std::in_range<Number>(raw);
    }
    return false;
}

template<typename Tag>
[[nodiscard]] auto read_value(const nlohmann::json& json, strong_id<Tag>& value) -> bool
{
    std::string text;
    const auto is_valid = read_value(json, text);
    value = strong_id<Tag>{std::move(text)};
    return is_valid;
}

template<typename Tag, typename Rep>
[[nodiscard]] auto read_value(const nlohmann::json& json, strong_number<Tag, Rep>& value) -> bool
{
    Rep raw{};
    const auto is_valid = read_value(json, raw);
    value = strong_number<Tag, Rep>{raw};
    return is_valid;
}

/** @brief Reads the fields of one JSON object and adds a finding for each missing or invalid field. */
class json_fields {
public:
    /**
     * @brief Constructs a reader for one JSON object.
     * @param object The JSON value; a finding is added if it is not an object.
     * @param place Location of the object, used as the prefix of field names in findings.
     * @param found Receives the findings.
     */
    json_fields(const nlohmann::json& object, std::string place, findings& found)
        : m_object{object}, m_place{std::move(place)}, m_found{found}
    {
        if (!m_object.is_object()) {
            m_found.add(m_place, "is not an object");
        }
    }

    /** @brief Reads a required field. */
    template<typename Value>
    auto require(const char* name, Value& value) -> void
    {
        if (const auto* json = field(name); json == nullptr) {
            m_found.add(place_of(name), "is missing");
        }
        else {
            read(name, *json, value);
        }
    }

    /** @brief Reads an optional field; `value` is unchanged if the field is absent. */
    template<typename Value>
    auto optional(const char* name, Value& value) -> void
    {
        if (const auto* json = field(name); json != nullptr) {
            read(name, *json, value);
        }
    }

    /**
     * @brief Returns the elements of a required array field; an empty array if the field is missing or not an array.
     */
    [[nodiscard]] auto array(const char* name) -> const nlohmann::json&
    {
        static const nlohmann::json empty = nlohmann::json::array();
        const auto* json = field(name);
        if (json == nullptr || !json->is_array()) {
            m_found.add(place_of(name), "is not an array");
            return empty;
        }
        return *json;
    }

    /** @brief Returns the location of an element of an array field. */
    [[nodiscard]] auto place_of(const char* name, const std::size_t index) const -> std::string
    {
        return place_of(name) + '[' + std::to_string(index) + ']';
    }

private:
    [[nodiscard]] auto field(const char* name) const -> const nlohmann::json*
    {
        const auto found = m_object.is_object() ? m_object.find(name) : m_object.end();
        return found == m_object.end() ? nullptr : &*found;
    }

    [[nodiscard]] auto place_of(const char* name) const -> std::string
    {
        return m_place.empty() ? std::string{name} : m_place + '.' + name;
    }

    template<typename Value>
    auto read(const char* name, const nlohmann::json& json, Value& value) -> void
    {
        if (!read_value(json, value)) {
            m_found.add(place_of(name), "has a wrong type or value");
        }
    }

    const nlohmann::json& m_object;
    std::string m_place;
    findings& m_found;
};

/** @brief Reads an enumerator by its name. The table contains the names in the order of the enumerators. */
template<typename Enum, std::size_t Count>
[[nodiscard]] auto read_enum(const nlohmann::json& json, const std::string_view (&names)[Count], Enum& value) -> bool
{
    for (std::size_t index = 0; index < Count; ++index) {
        if (json.is_string() && json.get_ref<const std::string&>() == names[index]) {
            value = static_cast<Enum>(index);
            return true;
        }
    }
    return false;
}

} // namespace cicadalug::internal

#endif
