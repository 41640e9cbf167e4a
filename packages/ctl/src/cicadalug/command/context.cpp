#include <cicadalug/command/context.hpp>

#include <ostream>

namespace cicadalug {

auto resource_title(const resource_kind kind, const std::string& name) -> std::string
{
    return std::string{to_string(kind)} + '/' + name;
}

auto report_failure(const command_context& context, const api_failure& failure, const std::string& subject) -> exit_code
{
    const auto prefix = subject.empty() ? std::string{} : subject + ": ";
    if (failure.m_code == exit_code::version_conflict) {
        context.m_error << prefix << "lost race: another write came first; ";
        if (failure.m_current_version == version{}) {
            context.m_error << "the resource no longer exists";
        }
        else {
            context.m_error << "the version in force is " << failure.m_current_version;
        }
        context.m_error << ". Nothing was changed; read it again and repeat the change.\n";
        return failure.m_code;
    }
    for (const auto& [place, message] : failure.m_found.items()) {
        context.m_error << prefix << place << ": " << message << '\n';
    }
    return failure.m_code;
}

auto report_invalid(const command_context& context, const findings& found) -> exit_code
{
    context.m_error << found.to_string() << '\n' << found.items().size() << " findings; nothing was changed.\n";
    return exit_code::invalid;
}

auto report_change(const command_context& context, const resource_kind kind, const std::string& name,
                   const std::string& action, const version new_version) -> void
{
    if (context.m_format == output_format::json) {
        const nlohmann::json line{
            {"kind", to_string(kind)}, {"name", name}, {"action", action}, {"version", new_version.value()}};
        context.m_out << line.dump() << std::endl;
        return;
    }
    context.m_out << resource_title(kind, name) << ' ' << action;
    if (new_version != version{}) {
        context.m_out << ", version " << new_version;
    }
    context.m_out << std::endl;
}

} // namespace cicadalug
