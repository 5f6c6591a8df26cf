#pragma once

#include "exchange_services.hpp"

#include <medlarrack/http1/page_server.hpp>

#include <string_view>

namespace medlarrack::gateway {

/// Path of the page of a gateway that explains where a request would be sent now.
inline constexpr std::string_view routePagePath = "/route";

/// Explains as JSON where a request would be sent if it came now, or how it would be refused. Sends nothing, changes no
/// state and counts toward no quota. The query of the page describes the request by `target`, any number of `header`
/// fields ("NAME: VALUE"), and optionally `tenant`, the name of its tenant in place of a key: a request with a key is
/// refused with 400. What is known only of a request that runs is left out: crashes by its content,
/// retry budgets, the random part of a choice, shedding by an overloaded process.
[[nodiscard]] http1::page explainRoute(const exchange_services &services, std::string_view pageTarget);

} // namespace medlarrack::gateway
