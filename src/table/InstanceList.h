#ifndef DAISYLANDING_TABLE_INSTANCELIST_H
#define DAISYLANDING_TABLE_INSTANCELIST_H

#include "common/Error.h"
#include "common/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace daisylanding::table {

enum class Role : uint8_t { Entry, Endpoint, Worker };

using daisylanding::Resources;

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

} // namespace daisylanding::table

#endif
