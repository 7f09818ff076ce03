#ifndef DAISYLANDING_WORKER_WORKERLOOP_H
#define DAISYLANDING_WORKER_WORKERLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "http/Client.h"
#include "worker/Protocol.h"

#include <atomic>
#include <deque>

namespace daisylanding::worker {

/// A sync request to be sent to a worker.
struct SyncCall {
  std::string Shard;
  uint64_t Epoch = 0;
  uint32_t Instance = 0;
  std::string Address;
  SyncRequest Request;
};

/// The outcome of a sync. Errors: Fenced (the worker has seen a newer epoch),
/// Unreachable, AnswerLost, Timeout, Malformed.
struct SyncResult {
  std::string Shard;
  uint64_t Epoch = 0;
  uint32_t Instance = 0;
  Result<SyncReport> Report = Errc::Unreachable;
};

/// Thread that sends syncs to workers over HTTP.
class WorkerLoop {
public:
  WorkerLoop(Millis Timeout, std::function<void()> WakeShardLoop);

  void start() {
    Loop.start("workers", [this] { run(); });
  }
  void stop() {
    Loop.requestStop();
    Client.wake();
    Loop.join();
  }

  Ring<SyncCall> Calls;
  Ring<SyncResult> Results;

  /// Bytes of bodies sent to and received from workers so far, a measure of the
  /// control traffic.
  uint64_t bodyBytes() const { return BodyBytes.load(); }
  uint64_t syncCount() const { return SyncCount.load(); }

private:
  void run();
  void sendSync(const SyncCall &Call);

  Millis Timeout;
  http::MultiClient Client;
  std::deque<SyncResult> UndeliveredResults;
  std::atomic<uint64_t> BodyBytes{0};
  std::atomic<uint64_t> SyncCount{0};
  Thread Loop;
};

} // namespace daisylanding::worker

#endif
