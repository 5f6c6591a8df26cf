#include <medlarrack/settings/fault.hpp>

namespace medlarrack::settings {

std::string toText(const fault_list &faults, const std::string &source)
{
    std::string text;
    for (const fault &one : faults) {
        text += source;
        text += ": ";
        text += one.pointer.empty() ? "document" : one.pointer;
        text += ": ";
        text += one.message;
        text += '\n';
    }
    return text;
}

} // namespace medlarrack::settings
