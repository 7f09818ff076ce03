#ifndef DAISYLANDING_COMMON_RESOURCES_H
#define DAISYLANDING_COMMON_RESOURCES_H

#include <cstdint>

namespace daisylanding {

/// Capacity of an instance or demand of a task.
struct Resources {
  uint32_t MilliCores = 0;
  uint32_t MemoryMb = 0;
  uint32_t Accelerators = 0;

  bool operator==(const Resources &) const = default;
  bool fitsIn(const Resources &Free) const {
    return MilliCores <= Free.MilliCores && MemoryMb <= Free.MemoryMb &&
           Accelerators <= Free.Accelerators;
  }
  Resources &operator+=(const Resources &Other) {
    MilliCores += Other.MilliCores;
    MemoryMb += Other.MemoryMb;
    Accelerators += Other.Accelerators;
    return *this;
  }
  Resources &operator-=(const Resources &Other) {
    MilliCores -= Other.MilliCores;
    MemoryMb -= Other.MemoryMb;
    Accelerators -= Other.Accelerators;
    return *this;
  }
};

} // namespace daisylanding

#endif
