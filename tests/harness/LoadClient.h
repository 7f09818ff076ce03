#ifndef DAISYLANDING_TESTS_HARNESS_LOADCLIENT_H
#define DAISYLANDING_TESTS_HARNESS_LOADCLIENT_H

#include "common/Random.h"
#include "common/Thread.h"
#include "harness/Deployment.h"

#include <atomic>
#include <vector>

namespace daisylanding::harness {

/// Sends the scenario's requests at their rates to the entries in rotation,
/// retries with the same idempotency key until the outcome is `done` or the
/// limit of tries is reached, and records each try.
class LoadClient {
public:
  LoadClient(Deployment &Target, uint64_t Seed);
  ~LoadClient() { stop(); }
  LoadClient(const LoadClient &) = delete;
  LoadClient &operator=(const LoadClient &) = delete;

  void start();
  /// Stops sending new requests and waits for pending ones.
  void stop();

  /// One record for each try that was sent. Read only after `stop`.
  std::vector<TryRecord> Tries;
  /// Requests whose last try got no answer.
  size_t UnansweredCount = 0;

private:
  struct PendingRequest {
    std::string Key;
    std::string Service;
    bool Repeatable = false;
    uint32_t TryCount = 0;
  };

  void run();
  void sendRequest(PendingRequest Request);
  void handleResponse(PendingRequest Request, TryRecord Try,
                      const http::CallResult &Response);
  bool shouldRetry(const PendingRequest &Request, const TryRecord &Try) const;

  Deployment &Target;
  Random Generator;
  http::MultiClient Client{{.MaxConnectionsPerHost = 512}};
  std::multimap<TimePoint, PendingRequest> RetryQueue;
  uint64_t NextKeyNumber = 0;
  std::atomic<bool> Sending{true};
  std::string KeyPrefix;
  Thread LoadThread;
  Thread HealthThread;
};

} // namespace daisylanding::harness

#endif
