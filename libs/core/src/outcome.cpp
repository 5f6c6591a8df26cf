#include <medlarrack/core/outcome.hpp>

namespace medlarrack::core {

std::string_view toString(outcome value)
{
    switch (value) {
    case outcome::ran:
        return "ran";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

std::optional<outcome> outcomeFromString(std::string_view text)
{
    for (outcome value : {outcome::ran, outcome::not_run, outcome::unknown}) {
        if (text == toString(value)) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace medlarrack::core
