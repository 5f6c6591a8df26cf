#pragma once

namespace medlarrack::daemon {

/// Lets all threads of the process share few heaps, so that memory freed by one of them isn't kept from the others. To
/// be called before threads are started.
void shareHeaps();

} // namespace medlarrack::daemon
