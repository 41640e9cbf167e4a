#include <cicadalug/command/observe.hpp>
#include <cicadalug/output/table.hpp>

#include <ostream>

namespace cicadalug {

namespace {

using nlohmann::json;

/** @brief Prints one change in text form; skips lines without a kind, which only report progress. */
auto print_change(std::ostream& out, const json& line) -> void
{
    if (!line.is_object() || !line.contains("kind")) {
        return;
    }
    out << cell_text(line.value("version", json{})) << ' ' << cell_text(line["kind"]) << '/'
        << cell_text(line.value("name", json{}));
    if (line.value("deleted", false)) {
        out << " deleted";
    }
    else {
        out << ' ' << cell_text(line.value("spec", json::object()));
    }
    out << std::endl;
}

} // namespace

auto watch(const command_context& context, const watch_options& options) -> exit_code
{
    const auto watched = context.m_client.watch(options.m_after, options.m_duration, [&context](const json& line) {
        if (context.m_format == output_format::json) {
            context.m_out << line.dump() << std::endl;
        }
        else {
            print_change(context.m_out, line);
        }
        return true;
    });
    return watched ? exit_code::done : report_failure(context, watched.assume_error(), "watch");
}

auto status(const command_context& context) -> exit_code
{
    const auto read = context.m_client.get("/v1/status");
    if (!read) {
        return report_failure(context, read.assume_error(), "status");
    }
    const auto& body = read.assume_value();
    if (context.m_format == output_format::json) {
        context.m_out << body.dump(2) << '\n';
        return exit_code::done;
    }
    context.m_out << "version in force: " << cell_text(body.value("version", json{})) << " (as entry VM "
                  << cell_text(body.value("entry_vm", json{})) << " knows)\n\n"
                  << object_table(body.value("availability_zones", json::array()),
                                  {"availability_zone", "control_holder", "control_epoch"})
                  << '\n'
                  << object_table(body.value("entry_vms", json::array()),
                                  {"entry_vm", "availability_zone", "state", "version", "incarnation", "address"});
    return exit_code::done;
}

auto wave_status(const command_context& context, const std::string& name) -> exit_code
{
    const auto read = context.m_client.get("/v1/waves/" + name);
    if (!read) {
        return report_failure(context, read.assume_error(), "wave/" + name);
    }
    const auto& body = read.assume_value();
    if (context.m_format == output_format::json) {
        context.m_out << body.dump(2) << '\n';
        return exit_code::done;
    }
    const auto zones = body.value("availability_zones", json::array());
    auto vms = json::array();
    for (const auto& zone : zones) {
        for (const auto& vm : zone.value("vms", json::array())) {
            vms.push_back(vm);
        }
    }
    context.m_out << object_table(zones, {"availability_zone", "state", "total", "open", "failed"}) << '\n'
                  << object_table(vms, {"availability_zone", "vm", "outcome"});
    return exit_code::done;
}

auto list_vms(const command_context& context) -> exit_code
{
    const auto read = context.m_client.get("/v1/vms");
    if (!read) {
        return report_failure(context, read.assume_error(), "vms");
    }
    const auto& body = read.assume_value();
    if (context.m_format == output_format::json) {
        context.m_out << body.dump(2) << '\n';
    }
    else {
        context.m_out << object_table(body.value("vms", json::array()),
                                      {"vm", "availability_zone", "rack", "room", "pool", "phase", "target_pool",
                                       "operation", "leaving", "address"});
    }
    return exit_code::done;
}

} // namespace cicadalug
