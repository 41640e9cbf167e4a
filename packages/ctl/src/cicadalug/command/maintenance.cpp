#include <cicadalug/command/maintenance.hpp>
#include <cicadalug/model/spec.hpp>

#include <utility>

namespace cicadalug {

namespace {

using nlohmann::json;

/** @brief Sets a spec member of an existing resource; writes only if its value differs. */
[[nodiscard]] auto set_spec_member(const command_context& context, const json& item_json, const std::string& member,
                                   const bool value) -> exit_code
{
    auto read = resource_from_json(item_json);
    if (!read) {
        return report_invalid(context, read.assume_error());
    }
    auto item = std::move(read).assume_value();
    if (item.m_spec.is_object() && item.m_spec.value(member, false) == value) {
        report_change(context, item.m_kind, item.m_name, "unchanged", item.m_version);
        return exit_code::done;
    }
    item.m_spec[member] = value;
    const auto written = context.m_client.put(item, item.m_version);
    if (!written) {
        return report_failure(context, written.assume_error(), resource_title(item.m_kind, item.m_name));
    }
    report_change(context, item.m_kind, item.m_name, "changed", written.assume_value());
    return exit_code::done;
}

[[nodiscard]] auto create_resource(const command_context& context, const resource& item) -> exit_code
{
    const auto written = context.m_client.put(item, version{});
    if (!written) {
        return report_failure(context, written.assume_error(), resource_title(item.m_kind, item.m_name));
    }
    report_change(context, item.m_kind, item.m_name, "created", written.assume_value());
    return exit_code::done;
}

} // namespace

auto set_drain(const command_context& context, const std::string& vm, const bool drain) -> exit_code
{
    const auto read = context.m_client.read(resource_kind::vm, vm);
    if (read) {
        return set_spec_member(context, read.assume_value(), "drain", drain);
    }
    if (read.assume_error().m_code != exit_code::not_found) {
        return report_failure(context, read.assume_error(), resource_title(resource_kind::vm, vm));
    }
    if (!drain) {
        report_change(context, resource_kind::vm, vm, "unchanged", version{});
        return exit_code::done;
    }
    resource item;
    item.m_kind = resource_kind::vm;
    item.m_name = vm;
    item.m_spec = {{"drain", true}};
    return create_resource(context, item);
}

auto start_wave(const command_context& context, const wave& new_wave) -> exit_code
{
    resource item;
    item.m_kind = resource_kind::wave;
    item.m_name = new_wave.m_id.str();
    item.m_spec = to_spec(new_wave);
    return create_resource(context, item);
}

auto set_wave_paused(const command_context& context, const std::string& name, const bool paused) -> exit_code
{
    const auto read = context.m_client.read(resource_kind::wave, name);
    if (!read) {
        return report_failure(context, read.assume_error(), resource_title(resource_kind::wave, name));
    }
    return set_spec_member(context, read.assume_value(), "paused", paused);
}

} // namespace cicadalug
