#include <medlarrack/core/request_class.hpp>

namespace medlarrack::core {

std::string_view toString(request_class value)
{
    switch (value) {
    case request_class::control:
        return "control";
    case request_class::interactive:
        return "interactive";
    case request_class::bulk:
        break;
    }
    return "bulk";
}

std::optional<request_class> requestClassFromString(std::string_view text)
{
    for (request_class value : allRequestClasses) {
        if (text == toString(value)) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace medlarrack::core
