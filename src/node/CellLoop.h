#ifndef DAISYLANDING_NODE_CELLLOOP_H
#define DAISYLANDING_NODE_CELLLOOP_H

#include "cell/AdviceDispatcher.h"
#include "cell/CellOwner.h"
#include "common/Ring.h"
#include "common/Thread.h"
#include "common/Timers.h"
#include "node/AdviceDesk.h"
#include "node/ExecutorList.h"
#include "node/Shared.h"
#include "relay/RelayLoop.h"

#include <atomic>

namespace daisylanding::node {

/// The thread of one owned service: reads what is stored, then carries out
/// what the owner decides until another entry takes over or it is stopped.
class CellLoop {
public:
  CellLoop(Shared &Common, AdviceDesk &Desk, relay::RelayLoop &Relay,
           std::string Service, cell::OwnerRow Mine, uint64_t RowVersion,
           TimePoint LastRenewal);
  ~CellLoop();

  void start();
  /// Writes that the service is free, then ends. Does not wait.
  void release();
  bool finished() const { return Finished.load(); }
  const std::string &service() const { return Service; }

private:
  struct AdviceAnswer {
    uint64_t Id = 0;
    std::string Line;
    double ExpectedMs = 0;
    Result<executor::Advice> Answer = Errc::AnswerLost;
  };

  void run();
  void retry(std::function<void()> Run);
  void loadRows(const std::string &Table, const std::string &From);
  void begin();
  void step();
  void carryOut(cell::OwnerCommands Out);
  void askLines(TimePoint Now);
  void commitNext(TimePoint Now);
  void followJobs();
  void onJobRows(const std::vector<store::Row> &Rows);
  void reloadJobs(const std::string &From);
  void readMembers();
  TimePoint acceptedAt(const cell::JobSpec &Job, TimePoint Now) const;
  void sawStore(int64_t StoreMillis);
  void publish(TimePoint Now);

  Shared &Common;
  AdviceDesk &Desk;
  relay::RelayLoop &Relay;
  std::string Service;
  cell::OwnerRow Mine;
  uint64_t RowVersion;
  TimePoint LastRenewal; ///< The earlier owner had not renewed since.

  http::MultiClient Calls;
  store::FeedCursor JobFeed;
  std::shared_ptr<MpscQueue<AdviceAnswer>> Answers;
  std::shared_ptr<cell::OfferMailbox> Offers;
  std::unique_ptr<store::RowStore> Store;
  std::unique_ptr<executor::ExecutorPort> Executors;
  std::unique_ptr<cell::CellOwner> Owner;
  cell::AdviceDispatcher Lines;
  Timers Later;

  // While loading.
  std::map<std::string, cell::JobSpec> LoadedJobs;
  std::set<std::string> LoadedCancels;
  std::map<std::string, cell::JobProgress> LoadedProgress;
  std::set<std::string> Withheld; ///< Jobs whose progress can't be read.
  bool Loaded = false;

  std::unique_ptr<ExecutorList> List;
  uint64_t ConfigVersion = 0;
  TimePoint NextMembers{};
  TimePoint NextPublish{};
  bool MembersOpen = false;

  std::atomic<bool> Releasing{false};
  std::atomic<bool> Finished{false};
  Thread Loop;
};

} // namespace daisylanding::node

#endif
