#ifndef DAISYLANDING_TESTS_HARNESS_LOADCLIENT_H
#define DAISYLANDING_TESTS_HARNESS_LOADCLIENT_H

#include "common/Random.h"
#include "common/Thread.h"
#include "harness/Deployment.h"

#include <atomic>
#include <vector>

namespace daisylanding::harness {

/// Sends the scenario's requests at their rates through the balancer, tries
/// again with the same key when the fate is open, and keeps what it was told.
class LoadClient {
public:
  LoadClient(Deployment &Target, uint64_t Seed);
  ~LoadClient() { stop(); }
  LoadClient(const LoadClient &) = delete;
  LoadClient &operator=(const LoadClient &) = delete;

  void start();
  /// Sends no more, waits for what is under way.
  void stop();

  /// What was told; to be read after `stop`.
  std::vector<Told> Answers;
  /// Requests that got no final answer in all their tries.
  size_t Unanswered = 0;

private:
  struct Pending {
    std::string Key;
    std::string Service;
    bool Repeatable = false;
    uint32_t Tries = 0;
  };

  void run();
  void send(Pending What);
  void onAnswer(Pending What, Told Entry, const http::CallResult &Answer);
  bool tryAgain(const Pending &What, const Told &Entry) const;

  Deployment &Target;
  Random Generator;
  http::MultiClient Client{{.MaxConnectionsPerHost = 512}};
  std::multimap<TimePoint, Pending> Later;
  uint64_t NextKey = 0;
  std::atomic<bool> Sending{true};
  std::string Prefix;
  Thread Loop;
  Thread Balancer;
};

} // namespace daisylanding::harness

#endif
