#include "allocation_counter.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> count{0};

} // namespace

std::uint64_t allocationCount()
{
    return count;
}

void *operator new(std::size_t size)
{
    count.fetch_add(1, std::memory_order_relaxed);
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}
