#include <cicadalug/entry_vm/entry_vm.hpp>
#include <cicadalug/request/standalone.hpp>
#include <cicadalug/settings/settings.hpp>

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <cstdint>
#include <iostream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace cicadalug;

/** @brief Command line of cicadalugd. */
struct daemon_options {
    std::string m_settings_file;
    bool m_check{false};
    entry_vm_settings m_entry_vm;
    std::string m_id;
    std::string m_availability_zone;
    std::string m_platform;
    std::vector<std::string> m_entry_vms;
    std::int64_t m_balancer_delay_ms{0};
    standalone_options m_standalone;
};

auto add_options(CLI::App& app, daemon_options& options) -> void
{
    auto& standalone = options.m_standalone;
    app.add_option("--settings", options.m_settings_file, "YAML file with the settings");
    app.add_flag("--check", options.m_check, "Validate the settings and exit: 0 without findings, 2 with findings")
        ->needs("--settings");
    app.add_option("--id", options.m_id, "Name of this entry VM");
    app.add_option("--zone", options.m_availability_zone, "Availability zone of this entry VM");
    app.add_option("--listen", standalone.m_listen, "Address and port for HTTP");
    app.add_option("--threads", standalone.m_threads, "Worker threads")->check(CLI::Range(1, 64));
    app.add_option("--balancer-delay-ms,--drain-delay-ms", options.m_balancer_delay_ms,
                   "Time from failing readiness to the end of accepting");
    app.add_option("--platform", options.m_platform, "Address and port of the platform");
    app.add_option("--datagram-listen", options.m_entry_vm.m_datagram_listen, "Address and port for datagrams");
    app.add_option("--entry-vm", options.m_entry_vms,
                   "An entry VM of the deployment: id,zone,address,datagram address");
    app.add_option("--upstream", standalone.m_upstreams, "Without a platform: address and port of an upstream");
    app.add_option("--service", standalone.m_services, "Without a platform: service that callers may name");
    app.add_option("--peer", standalone.m_peers, "Without a platform: another entry VM, as id=address:port");
    app.add_option("--slots", standalone.m_slots, "Without a platform: slots of each upstream");
}

/** @brief Reads "id,zone,address,datagram address". */
[[nodiscard]] auto parse_entry_vm(const std::string& text, findings& found) -> entry_vm_info
{
    std::istringstream stream{text};
    std::vector<std::string> fields;
    for (std::string field; std::getline(stream, field, ',');) {
        fields.push_back(field);
    }
    if (fields.size() != 4) {
        found.add("--entry-vm", "is not id,zone,address,datagram address: " + text);
        return {};
    }
    return {entry_vm_id{fields[0]}, availability_zone_id{fields[1]}, fields[2], fields[3]};
}

[[nodiscard]] auto run_entry_vm(entry_vm_settings settings) -> result<int>
{
    auto made = entry_vm::make(std::move(settings));
    if (!made) {
        return made.assume_error();
    }
    made.assume_value()->run();
    return 0;
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
    return run_entry_vm(make_entry_vm_settings(read.assume_value()));
}

[[nodiscard]] auto run_from_options(daemon_options options) -> result<int>
{
    auto& settings = options.m_entry_vm;
    findings found;
    for (const auto& text : options.m_entry_vms) {
        settings.m_entry_vms.push_back(parse_entry_vm(text, found));
    }
    if (!found.empty()) {
        return found;
    }
    settings.m_id = entry_vm_id{options.m_id};
    settings.m_availability_zone = availability_zone_id{options.m_availability_zone};
    settings.m_listen = options.m_standalone.m_listen;
    settings.m_platform = options.m_platform;
    settings.m_threads = options.m_standalone.m_threads;
    settings.m_balancer_delay = milliseconds{options.m_balancer_delay_ms};
    return run_entry_vm(std::move(settings));
}

[[nodiscard]] auto run(daemon_options options) -> result<int>
{
    if (!options.m_settings_file.empty()) {
        return run_from_file(options);
    }
    if (!options.m_platform.empty()) {
        return run_from_options(std::move(options));
    }
    auto& standalone = options.m_standalone;
    standalone.m_drain_delay_ms = static_cast<int>(options.m_balancer_delay_ms);
    standalone.m_id = options.m_id.empty() ? standalone.m_id : options.m_id;
    standalone.m_availability_zone =
        options.m_availability_zone.empty() ? standalone.m_availability_zone : options.m_availability_zone;
    return run_standalone(standalone);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    daemon_options options;
    CLI::App app{"cicadalugd: routes callers' work to upstreams and manages the fleet of its availability zone"};
    add_options(app, options);
    CLI11_PARSE(app, argc, argv);
    const auto code = run(std::move(options));
    if (!code) {
        std::cerr << code.assume_error().to_string() << '\n';
        return 2;
    }
    return code.assume_value();
}
