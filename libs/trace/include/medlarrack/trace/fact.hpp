#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarrack::trace {

/// Something that was known when an event happened: a name and a value.
struct fact
{
    fact(std::string_view factName, std::string_view text);
    fact(std::string_view factName, const std::string &text);
    fact(std::string_view factName, const char *text);
    fact(std::string_view factName, std::int64_t number);
    fact(std::string_view factName, std::uint64_t number);
    fact(std::string_view factName, int number);
    fact(std::string_view factName, unsigned number);
    fact(std::string_view factName, bool flag);

    std::string name;
    /// Value as JSON text.
    std::string json;
};

} // namespace medlarrack::trace
