#include <cicadalug/http/http_server.hpp>
#include <cicadalug/request/forwarder.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

auto main(int argc, char** argv) -> int
{
    using namespace cicadalug;

    std::string listen{"127.0.0.1:8080"};
    std::vector<std::string> upstreams;
    CLI::App app{"cicadalugd: routes callers' work to upstreams"};
    app.add_option("--listen", listen, "Address and port");
    app.add_option("--upstream", upstreams, "Address and port of an upstream");
    CLI11_PARSE(app, argc, argv);

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
