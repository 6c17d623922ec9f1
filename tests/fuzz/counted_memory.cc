#include "fuzz/counted_memory.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace martenyard::fuzz {
namespace {

// RocksDB, linked in, allocates on threads of its own before main.
thread_local std::size_t live = 0;
thread_local std::size_t peak = 0;

}  // namespace

void* Allocate(std::size_t size) {
  void* memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  live += malloc_usable_size(memory);
  peak = std::max(peak, live);
  return memory;
}

void Release(void* memory) {
  if (memory != nullptr) {
    // What another thread allocated was never counted here.
    live -= std::min(live, malloc_usable_size(memory));
    std::free(memory);
  }
}

PeakMemory::PeakMemory() : before_(live) { peak = live; }

std::size_t PeakMemory::bytes() const { return peak - std::min(peak, before_); }

}  // namespace martenyard::fuzz

void* operator new(std::size_t size) { return martenyard::fuzz::Allocate(size); }
void* operator new[](std::size_t size) { return martenyard::fuzz::Allocate(size); }
void operator delete(void* memory) noexcept { martenyard::fuzz::Release(memory); }
void operator delete[](void* memory) noexcept { martenyard::fuzz::Release(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept {
  martenyard::fuzz::Release(memory);
}
void operator delete[](void* memory, std::size_t /*size*/) noexcept {
  martenyard::fuzz::Release(memory);
}
