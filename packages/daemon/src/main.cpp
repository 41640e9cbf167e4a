#include <cicadalug/adapter/deployment_settings.hpp>
#include <cicadalug/entry/entry_program.hpp>
#include <cicadalug/entry_vm/entry_vm.hpp>
#include <cicadalug/request/static_entry_vm.hpp>
#include <cicadalug/settings/settings.hpp>

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <cstdint>
#include <iostream>
#include <string>

namespace {

using namespace cicadalug;

/** @brief Command line of cicadalugd. */
struct daemon_options {
    std::string m_settings_file;
    bool m_check{false};
    bool m_scheduler{false};
    static_entry_vm_settings m_static;
    std::int64_t m_balancer_delay_ms{0};
};

auto add_options(CLI::App& app, daemon_options& options) -> void
{
    auto& fixed = options.m_static;
    app.add_option("--settings", options.m_settings_file, "YAML file with the settings");
    app.add_flag("--check", options.m_check, "Validate the settings and exit: 0 without findings, 2 with findings")
        ->needs("--settings");
    app.add_flag("--scheduler", options.m_scheduler, "Schedule jobs on a platform that provides its own settings file");
    app.add_option("--id", fixed.m_id, "Without settings: name of this entry VM");
    app.add_option("--zone", fixed.m_zone, "Without settings: availability zone of this entry VM");
    app.add_option("--listen", fixed.m_listen, "Without settings: address and port for callers");
    app.add_option("--upstream", fixed.m_upstreams, "Without settings: address and port of an upstream");
    app.add_option("--service", fixed.m_services, "Without settings: service that callers may name");
    app.add_option("--peer", fixed.m_peers, "Without settings: another entry VM, as id=address:port");
    app.add_option("--slots", fixed.m_slots, "Without settings: slots of each upstream");
    app.add_option("--threads", fixed.m_threads, "Without settings: worker threads")->check(CLI::Range(1, 64));
    app.add_option("--balancer-delay-ms,--drain-delay-ms", options.m_balancer_delay_ms,
                   "Without settings: time from failing readiness to the end of listening");
}

[[nodiscard]] auto run_from_file(const daemon_options& options) -> result<int>
{
    const auto read = load_settings(options.m_settings_file);
    if (!read) {
        return read.assume_error();
    }
    if (options.m_check) {
        std::cout << options.m_settings_file << ": no findings\n";
        return 0;
    }
    const auto made = entry_vm::make(read.assume_value());
    if (!made) {
        return made.assume_error();
    }
    made.assume_value()->run();
    return 0;
}

[[nodiscard]] auto run_scheduler() -> result<int>
{
    const auto settings = load_deployment_settings(deployment_settings_path());
    if (!settings) {
        return settings.assume_error();
    }
    const auto found = run_entry_program(settings.assume_value());
    if (!found.empty()) {
        return found;
    }
    return 0;
}

[[nodiscard]] auto run(daemon_options& options) -> result<int>
{
    if (options.m_scheduler) {
        return run_scheduler();
    }
    if (!options.m_settings_file.empty()) {
        return run_from_file(options);
    }
    options.m_static.m_balancer_delay = milliseconds{options.m_balancer_delay_ms};
    const auto found = run_static_entry_vm(options.m_static);
    if (!found.empty()) {
        return found;
    }
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    google::InstallFailureSignalHandler();
    daemon_options options;
    CLI::App app{"cicadalugd: routes callers' work to upstreams and manages the fleet of its availability zone"};
    add_options(app, options);
    CLI11_PARSE(app, argc, argv);
    const auto code = run(options);
    if (!code) {
        std::cerr << code.assume_error().to_string() << '\n';
        return 2;
    }
    return code.assume_value();
}
