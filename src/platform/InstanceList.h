#ifndef DAISYLANDING_PLATFORM_INSTANCELIST_H
#define DAISYLANDING_PLATFORM_INSTANCELIST_H

#include "common/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace daisylanding::platform {

enum class Role : uint8_t { Entry, Endpoint, Worker };

/// Amounts of what an instance holds or a task asks for.
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

struct Instance {
  std::string Name;
  Role Kind = Role::Worker;
  std::string AvailabilityZone;
  std::string Rack;
  std::string Address; ///< host:port of what it serves.
  std::string Service; ///< Endpoints only: the service it runs.
  Resources Capacity;  ///< Workers only.
  bool Leaving = false;
};

struct InstanceSnapshot {
  uint64_t Version = 0;
  std::vector<Instance> Instances;
};

/// The platform's lagging list of live and leaving instances. An instance
/// that is missing from it is gone, and so is what ran on it.
class InstanceList {
public:
  virtual ~InstanceList() = default;
  virtual Result<InstanceSnapshot> snapshot() = 0;
};

} // namespace daisylanding::platform

#endif
