#pragma once

#include <medlarrack/core/reason.hpp>

#include <asio/ip/tcp.hpp>

namespace medlarrack::http1 {

/// Opens an acceptor at an address, also right after an earlier process has left it.
[[nodiscard]] bool listen(asio::ip::tcp::acceptor &acceptor, const asio::ip::tcp::endpoint &at, core::reason &why);

} // namespace medlarrack::http1
