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
  std::string Address;  ///< host:port that it serves on.
  std::string Service;  ///< Endpoints only: the service it runs.
  Resources Capacity;   ///< Workers only.
  bool Leaving = false; ///< About to stop; takes no new work.
};

struct InstanceSnapshot {
  uint64_t Version = 0;
  std::vector<Instance> Instances;
};

/// The platform's list of live and leaving instances, which lags behind. An
/// instance that is not in the list has stopped, and so has all that ran on it.
class InstanceList {
public:
  virtual ~InstanceList() = default;
  virtual Result<InstanceSnapshot> snapshot() = 0;
};

} // namespace daisylanding::table

#endif
