#pragma once

#include <medlarrack/http1/page_server.hpp>

#include <nlohmann/json_fwd.hpp>

namespace medlarrack::gateway {

/// A page of JSON. Names in it may hold any bytes: those that are no UTF-8 are replaced.
[[nodiscard]] http1::page jsonPage(int status, const nlohmann::json &content);

} // namespace medlarrack::gateway
