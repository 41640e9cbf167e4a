#include <cicadalug/base/nearest_name.hpp>
#include <cicadalug/command/apply.hpp>
#include <cicadalug/command/explain.hpp>
#include <cicadalug/command/maintenance.hpp>
#include <cicadalug/command/observe.hpp>
#include <cicadalug/command/program.hpp>
#include <cicadalug/command/resources.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <utility>

namespace cicadalug {

namespace {

constexpr const char* exit_code_help{"Exit codes: 0 done; 1 no entry VM or platform reachable, nothing changed; 2 the "
                                     "input has errors, nothing changed; 3 lost race, nothing changed; 4 no such "
                                     "resource; 5 the response to a write was lost, the change may have been made."};
constexpr int default_timeout_ms{5'000};

/** @brief Values of the options and arguments of all commands. */
struct program_options {
    std::vector<std::string> m_entry_vms{"127.0.0.1:8080"};
    int m_timeout_ms{default_timeout_ms};
    std::string m_output{"table"};
    std::string m_kind;
    std::string m_name;
    std::uint64_t m_version{0};
    apply_options m_apply;
    explain_options m_explain;

    std::uint64_t m_after{0};
    std::int64_t m_duration_ms{0};
    std::vector<std::string> m_pools;
    int m_batch_limit{0};
    std::int64_t m_drain_timeout_ms{wave{}.m_drain_timeout.count()};
    std::int64_t m_reboot_timeout_ms{wave{}.m_reboot_timeout.count()};
};

using command_handler = std::function<exit_code(const command_context&)>;

/** @brief Defines the commands, parses the arguments and runs the selected command. */
class command_line {
public:
    command_line()
    {
        m_app.require_subcommand(1);
        m_app.footer(exit_code_help);
        m_app
            .add_option("-e,--entry-vm", m_options.m_entry_vms,
                        "IP address and operators' port of an entry VM; several are tried in order. Also from the "
                        "environment variable CICADALUG_ENTRY_VM")
            ->envname("CICADALUG_ENTRY_VM")
            ->delimiter(',')
            ->capture_default_str();
        m_app
            .add_option("--timeout-ms", m_options.m_timeout_ms,
                        "Timeout of the connection attempt and of the response, each")
            ->check(CLI::Range(1, 600'000))
            ->capture_default_str();
        m_app.add_option("-o,--output", m_options.m_output, "Output format")
            ->check(CLI::IsMember({"table", "json"}))
            ->capture_default_str();
        add_apply();
        add_resources();
        add_maintenance();
        add_wave();
        add_observe();
        add_explain();
    }

    [[nodiscard]] auto run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& error) -> int
    {
        try {
            m_app.parse(std::vector<std::string>{arguments.rbegin(), arguments.rend()});
        }
        catch (const CLI::ParseError& failure) {
            return m_app.exit(failure, out, error) == 0 ? 0 : static_cast<int>(exit_code::invalid);
        }
        findings found;
        std::vector<tcp_endpoint> entry_vms;
        for (const auto& text : m_options.m_entry_vms) {
            entry_vms.push_back(parse_endpoint(text, "--entry-vm", found));
        }
        const api_client client{std::move(entry_vms), milliseconds{m_options.m_timeout_ms}};
        const auto format = m_options.m_output == "json" ? output_format::json : output_format::table;
        const command_context context{client, format, out, error};
        if (!found.empty()) {
            return static_cast<int>(report_invalid(context, found));
        }
        try {
            return static_cast<int>(m_handler(context));
        }
        catch (const nlohmann::json::exception& failure) {
            // A member of the response has another type than this program version expects.
            error << "unexpected response from the entry VM: " << failure.what() << '\n';
            return static_cast<int>(exit_code::unavailable);
        }
    }

private:
    auto add_command(CLI::App& parent, const std::string& name, const std::string& help, const std::string& example,
                     command_handler handler) -> CLI::App&
    {
        auto* subcommand = parent.add_subcommand(name, help);
        subcommand->footer("Example: cicadalugctl " + example);
        subcommand->fallthrough();
        subcommand->callback([this, handler = std::move(handler)] { m_handler = handler; });
        return *subcommand;
    }

    auto add_name(CLI::App& target, const char* help) -> void
    {
        target.add_option("name", m_options.m_name, help)->required();
    }

    auto add_kind(CLI::App& target) -> void
    {
        target.add_option("kind", m_options.m_kind, "pool, service, wave, team, room, vm or policy")->required();
    }

    /** @brief Calls a handler with the parsed kind argument, or reports an unknown kind. */
    [[nodiscard]] auto with_kind(const command_context& context,
                                 const std::function<exit_code(resource_kind)>& handler) const -> exit_code
    {
        if (const auto kind = parse_resource_kind(m_options.m_kind)) {
            return handler(*kind);
        }
        return report_invalid(context,
                              findings{"kind", unknown_name_message("kind", m_options.m_kind, resource_kind_names)});
    }

    auto add_apply() -> void
    {
        auto& subcommand = add_command(m_app, "apply", "Write the resources of a YAML or JSON file or of a directory",
                                       "apply --dry-run examples/co-operative/resources",
                                       [this](const auto& context) { return apply(context, m_options.m_apply); });
        subcommand.add_option("path", m_options.m_apply.m_path, "File or directory")->required();
        subcommand.add_flag("--dry-run", m_options.m_apply.m_dry_run, "Show the differences, write nothing");
        subcommand.add_flag("--force", m_options.m_apply.m_force,
                            "Overwrite a change that came first, in up to 5 attempts, instead of ending with code 3");
    }

    auto add_resources() -> void
    {
        auto& get_command = add_command(
            m_app, "get", "Show one resource", "get service quotes --output json", [this](const auto& context) {
                return with_kind(context,
                                 [&](const resource_kind kind) { return get(context, kind, m_options.m_name); });
            });
        add_kind(get_command);
        add_name(get_command, "Name of the resource");
        auto& list_command =
            add_command(m_app, "list", "Show all resources of a kind", "list pool", [this](const auto& context) {
                return with_kind(context, [&](const resource_kind kind) { return list(context, kind); });
            });
        add_kind(list_command);
        auto& delete_command =
            add_command(m_app, "delete", "Delete a resource", "delete wave spring", [this](const auto& context) {
                return with_kind(context, [&](const resource_kind kind) {
                    return erase(context, kind, m_options.m_name, version{m_options.m_version});
                });
            });
        add_kind(delete_command);
        add_name(delete_command, "Name of the resource");
        delete_command.add_option("--if-version", m_options.m_version,
                                  "Required current version; without this option, the version read just before");
    }

    auto add_explain() -> void
    {
        auto& subcommand =
            add_command(m_app, "explain", "Show the history of a request from log files, with its cause last",
                        "explain 0de75a04ae98a0e7 logs/*.log",
                        [this](const auto& context) { return explain(context, m_options.m_explain); });
        subcommand.add_option("request", m_options.m_explain.m_request, "Id of the request")->required();
        subcommand.add_option("files", m_options.m_explain.m_files, "Log files of all entry VMs; none: standard input");
    }

    auto add_maintenance() -> void
    {
        auto& drain =
            add_command(m_app, "drain", "Let a VM finish its work and place no further work on it", "drain c1-04",
                        [this](const auto& context) { return set_drain(context, m_options.m_name, true); });
        add_name(drain, "Name of the VM");
        auto& undrain =
            add_command(m_app, "undrain", "Place work on a drained VM again", "undrain c1-04",
                        [this](const auto& context) { return set_drain(context, m_options.m_name, false); });
        add_name(undrain, "Name of the VM");
    }

    auto add_wave() -> void
    {
        auto* group = m_app.add_subcommand("wave", "Start, pause, resume and show maintenance waves");
        group->require_subcommand(1);
        group->fallthrough();
        auto& start = add_command(*group, "start", "Drain and reboot each VM of some pools once",
                                  "wave start spring --pool quotes --pool orders --batch-limit 2",
                                  [this](const auto& context) { return start_wave(context, wave_from_options()); });
        add_name(start, "Name of the new wave");
        start.add_option("--pool", m_options.m_pools, "Pool whose VMs are maintained; can be repeated")->required();
        start.add_option("--batch-limit", m_options.m_batch_limit,
                         "Most VMs of one zone in maintenance at a time; 0: only the budgets limit them");
        start.add_option("--drain-timeout-ms", m_options.m_drain_timeout_ms, "Timeout for the work of a VM to finish");
        start.add_option("--reboot-timeout-ms", m_options.m_reboot_timeout_ms, "Timeout for the reboot of a VM");
        auto& pause =
            add_command(*group, "pause", "Start no further batch", "wave pause spring",
                        [this](const auto& context) { return set_wave_paused(context, m_options.m_name, true); });
        add_name(pause, "Name of the wave");
        auto& resume =
            add_command(*group, "resume", "Resume a paused wave", "wave resume spring",
                        [this](const auto& context) { return set_wave_paused(context, m_options.m_name, false); });
        add_name(resume, "Name of the wave");
        auto& status_command =
            add_command(*group, "status", "Show the progress of a wave", "wave status spring",
                        [this](const auto& context) { return wave_status(context, m_options.m_name); });
        add_name(status_command, "Name of the wave");
    }

    auto add_observe() -> void
    {
        add_command(m_app, "status", "Show zones, entry VMs and the current version", "status",
                    [](const auto& context) { return status(context); });
        add_command(m_app, "vms", "Show all VMs with pool and phase", "vms --output json",
                    [](const auto& context) { return list_vms(context); });
        auto& watch_command = add_command(
            m_app, "watch", "Show each change as it happens", "watch --after 120", [this](const auto& context) {
                return watch(context, {version{m_options.m_after}, milliseconds{m_options.m_duration_ms}});
            });
        watch_command.add_option("--after", m_options.m_after, "Show changes above this version");
        watch_command.add_option("--for-ms", m_options.m_duration_ms, "Duration of the watch; 0: unlimited")
            ->check(CLI::Range(std::int64_t{0}, std::int64_t{86'400'000}));
    }

    [[nodiscard]] auto wave_from_options() const -> wave
    {
        wave result;
        result.m_id = wave_id{m_options.m_name};
        for (const auto& pool : m_options.m_pools) {
            result.m_pools.emplace_back(pool);
        }
        result.m_batch_limit = m_options.m_batch_limit;
        result.m_drain_timeout = milliseconds{m_options.m_drain_timeout_ms};
        result.m_reboot_timeout = milliseconds{m_options.m_reboot_timeout_ms};
        return result;
    }

    CLI::App m_app{"cicadalugctl: reads, writes and watches the resources of cicadalug", "cicadalugctl"};
    program_options m_options;
    command_handler m_handler;
};

} // namespace

auto run_program(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& error) -> int
{
    return command_line{}.run(arguments, out, error);
}

} // namespace cicadalug
