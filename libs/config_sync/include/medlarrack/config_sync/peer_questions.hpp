#pragma once

#include <medlarrack/config_sync/platform_reader.hpp>

#include <asio/io_context.hpp>

#include <chrono>

namespace medlarrack::peer {
class client;
}

namespace medlarrack::config_sync {

/// A reader_callbacks::askPeer that sends the question over a peer client and gives up after the timeout. The client
/// and the io_context must outlive the reader.
[[nodiscard]] decltype(reader_callbacks::askPeer) askThrough(asio::io_context &context, peer::client &client,
                                                             std::chrono::milliseconds timeout);

} // namespace medlarrack::config_sync
