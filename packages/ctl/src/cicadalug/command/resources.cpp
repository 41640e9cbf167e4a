#include <cicadalug/command/resources.hpp>
#include <cicadalug/output/table.hpp>

#include <ostream>

namespace cicadalug {

using nlohmann::json;

auto get(const command_context& context, const resource_kind kind, const std::string& name) -> exit_code
{
    const auto read = context.m_client.read(kind, name);
    if (!read) {
        return report_failure(context, read.assume_error(), resource_title(kind, name));
    }
    const auto& item = read.assume_value();
    if (context.m_format == output_format::json) {
        context.m_out << item.dump(2) << '\n';
        return exit_code::done;
    }
    context.m_out << resource_title(kind, name) << "  version " << cell_text(item.value("version", json{})) << '\n';
    for (const auto* section : {"spec", "status"}) {
        const auto members = item.value(section, json::object());
        if (members.empty()) {
            continue;
        }
        context.m_out << section << ":\n";
        for (const auto& [member, value] : members.items()) {
            context.m_out << "  " << member << ": " << cell_text(value) << '\n';
        }
    }
    return exit_code::done;
}

auto list(const command_context& context, const resource_kind kind) -> exit_code
{
    const auto items = context.m_client.list(kind);
    if (!items) {
        return report_failure(context, items.assume_error(), std::string{to_string(kind)});
    }
    if (context.m_format == output_format::json) {
        context.m_out << json(items.assume_value()).dump(2) << '\n';
    }
    else {
        context.m_out << resource_table(items.assume_value());
    }
    return exit_code::done;
}

auto erase(const command_context& context, const resource_kind kind, const std::string& name, version expected)
    -> exit_code
{
    const auto title = resource_title(kind, name);
    if (expected == version{}) {
        const auto read = context.m_client.read(kind, name);
        if (!read) {
            return report_failure(context, read.assume_error(), title);
        }
        expected = version{read.assume_value().value("version", std::uint64_t{0})};
    }
    const auto erased = context.m_client.erase(kind, name, expected);
    if (!erased) {
        return report_failure(context, erased.assume_error(), title);
    }
    report_change(context, kind, name, "deleted", erased.assume_value());
    return exit_code::done;
}

} // namespace cicadalug
