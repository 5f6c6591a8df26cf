#pragma once

#include <cstddef>

namespace medlarrack::http1 {

/// Connections that peers may have open at this process: three quarters of the descriptors that it may open. The others
/// are for connections that it makes itself, and for pages.
[[nodiscard]] std::size_t maxPeerConnections();

} // namespace medlarrack::http1
