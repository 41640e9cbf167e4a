#include <cicadalug/command/get.hpp>

#include <CLI/CLI.hpp>

#include <iostream>
#include <string>

auto main(int argc, char** argv) -> int
{
    using namespace cicadalug;

    std::string entry_vm{"127.0.0.1:8080"};
    std::string path;
    CLI::App app{"cicadalugctl: reads and writes the resources of cicadalug"};
    app.add_option("--entry-vm", entry_vm, "Address and port of an entry VM");
    app.add_option("path", path, "Path to read")->required();
    CLI11_PARSE(app, argc, argv);

    findings found;
    const auto endpoint = parse_endpoint(entry_vm, "--entry-vm", found);
    if (!found.empty()) {
        std::cerr << found.to_string() << '\n';
        return 2;
    }
    return get_path(endpoint, path, std::cout);
}
