#ifndef DAISYLANDING_TESTS_STANDIN_ENDPOINTSERVICE_H
#define DAISYLANDING_TESTS_STANDIN_ENDPOINTSERVICE_H

#include "common/Random.h"
#include "http/Server.h"
#include "standin/DelayQueue.h"
#include "standin/History.h"

#include <mutex>

namespace daisylanding::standin {

struct EndpointOptions {
  std::string Name;
  std::string HistoryFile;
  Millis MeanWorkTime{20}; ///< Mean time of one request.
  uint32_t Slots = 8;
  uint64_t Seed = 1;
};

/// An endpoint: answers each request with its own body, and logs every run.
/// Faults at /control/faults: slow_factor, silent (connections open now never
/// answer again), failing (answers 500).
class EndpointService final : public http::Handler {
public:
  explicit EndpointService(EndpointOptions Options);
  void handle(http::Request Request, http::Responder Responder) override;

private:
  void setFaults(const http::Request &Request);
  Micros drawWorkTime();

  EndpointOptions Options;
  History HistoryLog;
  std::mutex Mutex;
  Random Generator;
  double SlowFactor = 1;
  bool Failing = false;
  uint64_t NewestConnectionId = 0;
  uint64_t LastSilentConnectionId =
      0; ///< Connections up to this id never answer.
  uint32_t RunningCount = 0;
  DelayQueue DelayedResponses;
};

} // namespace daisylanding::standin

#endif
