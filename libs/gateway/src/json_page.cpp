#include "json_page.hpp"

#include <nlohmann/json.hpp>

namespace medlarrack::gateway {

http1::page jsonPage(int status, const nlohmann::json &content)
{
    return {status, "application/json", content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

} // namespace medlarrack::gateway
