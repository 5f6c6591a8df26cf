#include "arguments.hpp"
#include "commands.hpp"

#include <iostream>

int main(int argumentCount, const char **arguments)
{
    using namespace medlarrack::ctl;
    int exitCode = 0;
    const auto parsed = parseArguments(argumentCount, arguments, MEDLARRACK_VERSION, std::cout, std::cerr, exitCode);
    return parsed ? runCommand(*parsed, std::cin, std::cout, std::cerr) : exitCode;
}
