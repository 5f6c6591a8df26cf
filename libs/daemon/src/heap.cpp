#include <medlarrack/daemon/heap.hpp>

#include <malloc.h>

namespace medlarrack::daemon {
namespace {

constexpr int heaps = 2;

} // namespace

void shareHeaps()
{
    // Freed parts of large tickets would stay in the heap of each thread that parsed one.
    mallopt(M_ARENA_MAX, heaps);
}

} // namespace medlarrack::daemon
