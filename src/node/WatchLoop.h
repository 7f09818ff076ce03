#ifndef DAISYLANDING_NODE_WATCHLOOP_H
#define DAISYLANDING_NODE_WATCHLOOP_H

#include "common/Random.h"
#include "common/Thread.h"
#include "common/Timers.h"
#include "node/CellLoop.h"
#include "node/OwnerWatch.h"
#include "node/Shared.h"
#include "store/FeedCursor.h"

#include <map>

namespace daisylanding::node {

/// The thread that keeps what an entry believes up to date: configuration and
/// owners of services. It takes services whose owner is gone.
class WatchLoop {
public:
  WatchLoop(Shared &Common, AdviceDesk &Desk, relay::RelayLoop &Relay);
  ~WatchLoop();

  void start();
  /// Hands all owned services over; waits at most \p Longest.
  void release(Millis Longest);
  void stop();

private:
  struct Watched {
    OwnerWatch Watch{OwnerWatchOptions{}};
    bool ReadOpen = false;
    bool TakeOpen = false;
    TimePoint ReadSent{};
    TimePoint NextRead{};
    uint32_t Jitter = 0;
  };

  void run();
  void readConfig();
  void followConfig();
  void takeConfig(const store::Row &Row);
  void announce();
  void watchOwners(TimePoint Now);
  void readOwner(const std::string &Service, TimePoint Now);
  uint32_t ownedOrTaken() const;
  void take(const std::string &Service, TimePoint Now);
  void dropFinished();
  bool owns(const std::string &Service) const;

  Shared &Common;
  AdviceDesk &Desk;
  relay::RelayLoop &Relay;
  http::MultiClient Calls;
  std::unique_ptr<store::RowStore> Store;
  Timers Later;
  Random Dice;
  store::FeedCursor ConfigFeed{store::MaxFeedLag};
  std::map<std::string, Watched> Owners;
  std::vector<std::unique_ptr<CellLoop>> Cells;
  std::atomic<bool> Releasing{false};
  std::atomic<size_t> CellCount{0};
  Thread Loop;
};

} // namespace daisylanding::node

#endif
