#include "json_text.hpp"

#include <nlohmann/json.hpp>

namespace medlarrack::trace::detail {

std::string jsonText(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace medlarrack::trace::detail
