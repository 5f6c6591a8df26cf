#pragma once

namespace medlarrack::daemon {

/// Lets all threads of the process share few heaps, so that memory freed by one of them isn't kept from the others. To
/// be called before threads are started.
void shareHeaps();
/// Gives large blocks back to the system when they are freed. Otherwise their size decides over the time of a process
/// where blocks come from, and the heap keeps gaps between long bodies.
void returnLargeBlocks();

} // namespace medlarrack::daemon
