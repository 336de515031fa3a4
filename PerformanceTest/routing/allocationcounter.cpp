#include "PerformanceTest/routing/allocationcounter.h"

#include <cstdlib>
#include <new>

namespace
{

std::uint64_t totalBytes = 0;

} // namespace

// Replaces the allocation functions of the whole program. The program has one thread.
void *operator new(std::size_t size)
{
    totalBytes += size;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

std::uint64_t ibismast::allocatedBytes()
{
    return totalBytes;
}
