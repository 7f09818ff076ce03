#ifndef DAISYLANDING_TESTS_STANDIN_EXECUTORSERVICE_H
#define DAISYLANDING_TESTS_STANDIN_EXECUTORSERVICE_H

#include "common/Random.h"
#include "http/Server.h"
#include "standin/DelayQueue.h"
#include "standin/History.h"

#include <mutex>

namespace daisylanding::standin {

struct ExecutorOptions {
  std::string Name;
  std::string HistoryFile;
  Millis Work{20}; ///< Mean time of one request.
  uint32_t Slots = 8;
  uint64_t Seed = 1;
};

/// An endpoint: answers each request with its own body, and logs every run.
/// Faults at /control/faults: slow_factor, silent (connections open now never
/// answer again), failing (answers 500).
class ExecutorService final : public http::Handler {
public:
  explicit ExecutorService(ExecutorOptions Options);
  void handle(http::Request Incoming, http::Responder Respond) override;

private:
  void setFaults(const http::Request &Incoming);
  Micros workTime();

  ExecutorOptions Options;
  History Log;
  std::mutex Mutex;
  Random Generator;
  double SlowFactor = 1;
  bool Failing = false;
  uint64_t NewestConnection = 0;
  uint64_t SilentUpTo = 0; ///< Connections up to this id never answer.
  uint32_t Running = 0;
  DelayQueue Later;
};

} // namespace daisylanding::standin

#endif
