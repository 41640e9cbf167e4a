#include <cicadalug/command/program.hpp>

#include <iostream>

auto main(int argc, char** argv) -> int
{
    return cicadalug::run_program({argv + 1, argv + argc}, std::cout, std::cerr);
}
