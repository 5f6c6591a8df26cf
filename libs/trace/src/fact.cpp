#include "json_text.hpp"

#include <medlarrack/trace/fact.hpp>

namespace medlarrack::trace {

fact::fact(std::string_view factName, std::string_view text)
    : name(factName)
    , json(detail::jsonText(text))
{
}

fact::fact(std::string_view factName, const std::string &text)
    : fact(factName, std::string_view(text))
{
}

fact::fact(std::string_view factName, const char *text)
    : fact(factName, std::string_view(text))
{
}

fact::fact(std::string_view factName, std::int64_t number)
    : name(factName)
    , json(std::to_string(number))
{
}

fact::fact(std::string_view factName, std::uint64_t number)
    : name(factName)
    , json(std::to_string(number))
{
}

fact::fact(std::string_view factName, int number)
    : fact(factName, std::int64_t{number})
{
}

fact::fact(std::string_view factName, unsigned number)
    : fact(factName, std::uint64_t{number})
{
}

fact::fact(std::string_view factName, bool flag)
    : name(factName)
    , json(flag ? "true" : "false")
{
}

} // namespace medlarrack::trace
