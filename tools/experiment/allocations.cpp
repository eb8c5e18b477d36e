// Replaces operator new and operator delete to count the allocated bytes. The
// array, sized and nothrow forms of the standard library call these.

#include "tools/experiment/series.hpp"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> allocated{0};

} // namespace

void* operator new(std::size_t size)
{
    void* block = std::malloc(size);
    if (block == nullptr)
        throw std::bad_alloc();
    allocated += malloc_usable_size(block);
    return block;
}

void operator delete(void* block) noexcept
{
    allocated -= malloc_usable_size(block);
    std::free(block);
}

void operator delete(void* block, std::size_t) noexcept
{
    operator delete(block);
}

namespace filberthub::experiment {

std::size_t allocated_bytes()
{
    return allocated;
}

} // namespace filberthub::experiment
