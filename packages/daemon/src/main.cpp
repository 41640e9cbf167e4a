#include <cicadalug/entry_vm/entry_vm.hpp>
#include <cicadalug/http/http_server.hpp>
#include <cicadalug/request/forwarder.hpp>
#include <cicadalug/settings/settings.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace cicadalug;

/** @brief Runs an entry VM until it is told to stop. @return Exit code of the program. */
[[nodiscard]] auto run_entry_vm(const settings& given) -> int
{
    const auto made = entry_vm::make(given);
    if (!made) {
        std::cerr << made.assume_error().to_string() << '\n';
        return 2;
    }
    made.assume_value()->run();
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    std::string listen{"127.0.0.1:8080"};
    std::vector<std::string> upstreams;
    std::string settings_file;
    bool check{false};
    CLI::App app{"cicadalugd: routes callers' work to upstreams"};
    const auto* file_option = app.add_option("--settings", settings_file, "YAML file with the settings");
    app.add_flag("--check", check, "Validate the settings and exit: 0 without findings, 2 with findings")
        ->needs("--settings");
    app.add_option("--listen", listen, "Address and port");
    app.add_option("--upstream", upstreams, "Address and port of an upstream");
    CLI11_PARSE(app, argc, argv);

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
        return run_entry_vm(read.assume_value());
    }
    findings found;
    const auto endpoint = parse_endpoint(listen, "--listen", found);
    std::vector<tcp_endpoint> endpoints;
    endpoints.reserve(upstreams.size());
    for (const auto& upstream : upstreams) {
        endpoints.push_back(parse_endpoint(upstream, "--upstream", found));
    }
    if (!found.empty()) {
        std::cerr << found.to_string() << '\n';
        return 2;
    }
    asio::io_context context;
    forwarder requests{std::move(endpoints)};
    const http_server server{context, endpoint, {}, [&requests](http_exchange& exchange) {
                                 return requests.handle(exchange);
                             }};
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    context.run();
    return 0;
}
