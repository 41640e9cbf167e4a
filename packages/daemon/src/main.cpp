#include <cicadalug/entry_vm/entry_vm.hpp>
#include <cicadalug/request/static_entry_vm.hpp>
#include <cicadalug/settings/settings.hpp>

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <cstdint>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace cicadalug;

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

[[nodiscard]] auto run_entry_vm(entry_vm_settings settings, const std::vector<std::string>& known) -> int
{
    findings found;
    for (const auto& text : known) {
        settings.m_entry_vms.push_back(parse_entry_vm(text, found));
    }
    if (found.empty()) {
        auto made = entry_vm::make(std::move(settings));
        if (made) {
            made.assume_value()->run();
            return 0;
        }
        found = made.assume_error();
    }
    std::cerr << found.to_string() << '\n';
    return 2;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    entry_vm_settings settings;
    std::string id;
    std::string zone;
    std::vector<std::string> known;
    std::int64_t balancer_delay_ms{settings.m_balancer_delay.count()};
    std::string listen{"127.0.0.1:8080"};
    static_entry_vm_settings fixed;
    std::string settings_file;
    bool check{false};
    CLI::App app{"cicadalugd: routes callers' work to upstreams"};
    const auto* file_option = app.add_option("--settings", settings_file, "YAML file with the settings");
    app.add_flag("--check", check, "Validate the settings and exit: 0 without findings, 2 with findings")
        ->needs("--settings");
    app.add_option("--listen", listen, "Address and port");
    app.add_option("--id", id, "Name of this entry VM");
    app.add_option("--upstream", fixed.m_upstreams, "Serve without a platform: address and port of an upstream");
    app.add_option("--service", fixed.m_services, "Serve without a platform: a service of all upstreams");
    app.add_option("--peer", fixed.m_peers, "Serve without a platform: another entry VM, as id=address:port");
    app.add_option("--slots", fixed.m_slots, "Serve without a platform: slots of each upstream");
    app.add_option("--threads", fixed.m_threads, "Serve without a platform: worker threads")->check(CLI::Range(1, 64));
    app.add_option("--zone", zone, "Availability zone of this entry VM");
    app.add_option("--datagram-listen", settings.m_datagram_listen, "Address and port for datagrams");
    app.add_option("--platform", settings.m_platform, "Address and port of the platform");
    app.add_option("--entry-vm", known, "An entry VM of the deployment: id,zone,address,datagram address");
    app.add_option("--balancer-delay-ms", balancer_delay_ms, "Time from failing readiness to the end of accepting");
    CLI11_PARSE(app, argc, argv);

    if (!id.empty() && fixed.m_upstreams.empty()) {
        settings.m_id = entry_vm_id{id};
        settings.m_availability_zone = availability_zone_id{zone};
        settings.m_listen = listen;
        settings.m_balancer_delay = milliseconds{balancer_delay_ms};
        return run_entry_vm(std::move(settings), known);
    }
    findings found;
    if (*file_option) {
        const auto read = load_settings(settings_file);
        if (!read) {
            std::cerr << read.assume_error().to_string() << '\n';
            return 2;
        }
        if (check) {
            std::cout << settings_file << ": no findings\n";
            return 0;
        }
        std::ostringstream address;
        address << read.assume_value().m_callers;
        listen = address.str();
    }
    fixed.m_listen = listen;
    fixed.m_id = id.empty() ? fixed.m_id : id;
    fixed.m_zone = zone.empty() ? fixed.m_zone : zone;
    fixed.m_balancer_delay = milliseconds{balancer_delay_ms};
    found.append(run_static_entry_vm(fixed));
    if (!found.empty()) {
        std::cerr << found.to_string() << '\n';
        return 2;
    }
    return 0;
}
