#pragma once

#include <medlarrack/config_sync/platform_reader.hpp>

#include <asio/io_context.hpp>

#include <chrono>

namespace medlarrack::peer {
class client;
}

namespace medlarrack::config_sync {

/// Returns a reader_callbacks::queryPeer that sends the request over a peer client and fails it after the timeout. The
/// client and the io_context must outlive the reader.
[[nodiscard]] decltype(reader_callbacks::queryPeer) makePeerQuery(asio::io_context &context, peer::client &client,
                                                                  std::chrono::milliseconds timeout);

} // namespace medlarrack::config_sync
