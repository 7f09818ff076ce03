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

/// The platform's table, objects and instance list over HTTP, with faults on
/// request at /control/faults and the list set at /control/instances.
class PlatformService final : public http::Handler {
public:
  explicit PlatformService(uint64_t Seed) : Generator(Seed) {}
  void handle(http::Request Incoming, http::Responder Respond) override;

private:
  http::Response control(const http::Request &Incoming);
  http::Response changeInstance(const http::Request &Incoming);
  http::Response setFaults(const http::Request &Incoming);
  http::Response serve(const http::Request &Incoming, bool &LoseAnswer);
  http::Response commit(const http::Request &Incoming, bool &LoseAnswer);
  http::Response rows(const http::Request &Incoming);
  http::Response objects(const http::Request &Incoming);

  std::mutex Mutex;
  MemoryTable Store;
  table::InstanceSnapshot List;
  Random Generator;
  std::set<std::string> CutZones;
  bool Down = false;
  double LoseAnswerRate = 0;
  Millis Delay{0};
  uint64_t Writes = 0;
  DelayQueue Later;
};

} // namespace daisylanding::standin

#endif
