#ifndef DAISYLANDING_TESTS_STANDIN_PLATFORMSERVICE_H
#define DAISYLANDING_TESTS_STANDIN_PLATFORMSERVICE_H

#include "common/Random.h"
#include "http/Server.h"
#include "standin/DelayQueue.h"
#include "standin/MemoryTable.h"
#include "table/InstanceList.h"

#include <mutex>
#include <set>

namespace daisylanding::standin {

/// Serves the platform's table, objects and instance list over HTTP. Accepts
/// faults at /control/faults, the instance list at /control/instances and
/// changes of one instance at /control/instance; /control/stats counts reads
/// and writes.
class PlatformService final : public http::Handler {
public:
  explicit PlatformService(uint64_t Seed) : Generator(Seed) {}
  void handle(http::Request Request, http::Responder Responder) override;

private:
  http::Response handleControlCall(const http::Request &Request);
  http::Response changeInstance(const http::Request &Request);
  http::Response setFaults(const http::Request &Request);
  http::Response handlePlatformCall(const http::Request &Request,
                                    bool &ResponseLost);
  http::Response commitRows(const http::Request &Request, bool &ResponseLost);
  http::Response readRows(const http::Request &Request);
  http::Response handleObjectCall(const http::Request &Request);

  std::mutex Mutex;
  MemoryTable Store;
  table::InstanceSnapshot InstanceList;
  Random Generator;
  std::set<std::string> IsolatedZones;
  bool Unavailable = false;
  double ResponseLossRate = 0;
  Millis ResponseDelay{0};
  uint64_t WriteCount = 0;
  DelayQueue DelayedResponses;
};

} // namespace daisylanding::standin

#endif
