#include <medlarrack/daemon/heap.hpp>

#include <malloc.h>

namespace medlarrack::daemon {
namespace {

constexpr int heaps = 2;
/// Longer than usual bodies, which come from the heap without a system call.
constexpr int largeBlockBytes = 262'144;
/// Free memory at the end of the heap that is kept, so that short-lived blocks don't move the end all the time.
constexpr int keptFreeBytes = 1'048'576;

} // namespace

void shareHeaps()
{
    // Freed parts of large tickets would stay in the heap of each thread that parsed one.
    mallopt(M_ARENA_MAX, heaps);
}

void returnLargeBlocks()
{
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
}

} // namespace medlarrack::daemon
