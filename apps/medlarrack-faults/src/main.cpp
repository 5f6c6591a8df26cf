#include "fault_matrix.hpp"

#include <iostream>

int main()
{
    using namespace medlarrack::faults;
    std::cout << toMarkdown(promises());
    return 0;
}
