#ifndef DAISYLANDING_NODE_WATCHLOOP_H
#define DAISYLANDING_NODE_WATCHLOOP_H

#include "common/Random.h"
#include "common/Thread.h"
#include "common/Timers.h"
#include "node/ConfigFollower.h"
#include "node/EntryContext.h"
#include "node/OwnerLoop.h"
#include "node/OwnerReads.h"
#include "node/OwnerWatch.h"

#include <map>

namespace daisylanding::node {

/// The thread that keeps an entry's view of the configuration and of the
/// services' owners up to date. It acquires services that have no live owner.
class WatchLoop {
public:
  WatchLoop(EntryContext &Context, AdviceLoop &Advice, relay::RelayLoop &Relay);
  ~WatchLoop();

  void start();
  /// Releases all owned services; waits at most \p Timeout for it.
  void release(Millis Timeout);
  void stop();

private:
  struct ServiceWatch {
    OwnerWatch Owner{OwnerWatchOptions{}};
    OwnerReads Reads;
    bool AcquireInFlight = false;
    uint32_t Jitter = 0;
  };

  void run();
  void announceEntry();
  void readCapacities();
  void watchOwners(TimePoint Now);
  void readOwner(const std::string &Service, TimePoint Now);
  uint32_t ownedOrAcquiring() const;
  void acquire(const std::string &Service, TimePoint Now);
  void removeFinishedLoops();
  bool owns(const std::string &Service) const;
  uint32_t rankFor(const ServiceWatch &Watch) const;

  EntryContext &Context;
  AdviceLoop &Advice;
  relay::RelayLoop &Relay;
  http::MultiClient Client;
  std::unique_ptr<store::RowStore> Store;
  Timers TimerQueue;
  Random JitterSource;
  cell::EntryCapacity LargestEntry; ///< Of those announced at the start.
  std::unique_ptr<ConfigFollower> Config;
  std::map<std::string, ServiceWatch> Watches;
  std::vector<std::unique_ptr<OwnerLoop>> OwnerLoops;
  std::atomic<bool> Releasing{false};
  std::atomic<size_t> OwnerLoopCount{0};
  Thread Loop;
};

} // namespace daisylanding::node

#endif
