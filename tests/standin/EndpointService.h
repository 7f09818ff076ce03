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
  Millis MeanWorkTime{20}; ///< Mean processing time of a request.
  uint32_t Slots = 8;
  uint64_t Seed = 1;
};

/// A stand-in for an endpoint: answers each request with `answer:` and the
/// request's body, and records the start and end of each request in the
/// history. Accepts faults at /control/faults: slow_factor, silent (no answer
/// on connections that have sent a request by now), failing (answers 500).
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
  /// Requests on connections up to this id get no answer.
  uint64_t LastSilentConnectionId = 0;
  uint32_t RunningCount = 0;
  DelayQueue DelayedResponses;
};

} // namespace daisylanding::standin

#endif
