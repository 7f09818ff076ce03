#ifndef DAISYLANDING_NODE_OWNERLOOP_H
#define DAISYLANDING_NODE_OWNERLOOP_H

#include "cell/AdviceDispatcher.h"
#include "cell/CellOwner.h"
#include "common/Ring.h"
#include "common/Thread.h"
#include "common/Timers.h"
#include "node/AdviceLoop.h"
#include "node/CapFeed.h"
#include "node/EndedLoader.h"
#include "node/EntryContext.h"
#include "node/ExecutorList.h"
#include "node/OwnerGauges.h"
#include "node/ServiceLoader.h"
#include "node/ServicePlaces.h"
#include "node/TurnPacer.h"
#include "relay/RelayLoop.h"

#include <atomic>

namespace daisylanding::node {

/// The thread of one owned service: loads the stored state, then carries out
/// the owner's decisions until another entry takes over or it is stopped.
class OwnerLoop {
public:
  OwnerLoop(EntryContext &Context, AdviceLoop &Advice, relay::RelayLoop &Relay,
            std::string Service, cell::OwnerRow OwnRow, uint64_t RowVersion);
  ~OwnerLoop();

  void start();
  /// Requests that the service be released and the thread end. Does not wait.
  void release();
  bool finished() const { return Finished.load(); }
  const std::string &service() const { return Service; }

private:
  struct AdviceAnswer {
    uint64_t Id = 0;
    std::string RelayAddress;
    Result<executor::Advice> Outcome = Errc::AnswerLost;
  };

  void run();
  void retryLater(std::function<void()> Action);
  void createOwner();
  void continueLoading(TimePoint Now);
  void finishLoading(TimePoint Now);
  void takeTurnIfDue();
  void recordChange() { HasChange.store(true); }
  void wakeForChange();
  void processOnce(cell::OwnerTurn Turn);
  void executeCommands(cell::OwnerCommands Commands);
  void sendAdviceCalls(TimePoint Now);
  void sendNextCommit(TimePoint Now);
  void followJobs(Millis MaxWait);
  void onJobRows(const std::vector<store::Row> &Rows);
  void reloadJobs(const std::string &FromKey);
  void readEntries();
  TimePoint acceptedAt(const cell::JobSpec &Job, TimePoint Now) const;
  void recordStoreAnswer(int64_t StoreMillis);
  void publishStatus(TimePoint Now);
  void logAdviceCalls();

  EntryContext &Context;
  AdviceLoop &Advice;
  relay::RelayLoop &Relay;
  std::string Service;
  cell::OwnerRow OwnRow;
  uint64_t RowVersion;

  http::MultiClient Client;
  store::FeedCursor JobFeed;
  std::shared_ptr<MpscQueue<AdviceAnswer>> AdviceAnswers;
  std::shared_ptr<cell::OfferMailbox> Offers;
  std::unique_ptr<store::RowStore> Store;
  std::unique_ptr<executor::ExecutorPort> Executors;
  ServicePlaces OtherServices;
  std::unique_ptr<cell::CellOwner> Owner;
  cell::AdviceDispatcher AdviceQueues;
  Timers TimerQueue;
  TurnPacer TurnPace;
  TurnPacer PlanPace;        ///< Of the turns that plan.
  bool RenewalsLeft = false; ///< The last turn requested as many as it may.

  TimePoint AcquiredAt{};
  std::unique_ptr<EndedLoader> LoaderOfEnded;
  std::unique_ptr<ServiceLoader> Loader; ///< Null once the load is done.
  std::set<std::string> UnreadableJobs;  ///< Never scheduled.
  OwnerGauges Gauges;

  std::unique_ptr<ExecutorList> Instances;
  std::unique_ptr<CapFeed> Caps;
  uint64_t ConfigVersion = 0;
  TimePoint NextEntryRead{};
  TimePoint LastStoreAnswer{}; ///< As of the last turn.
  TimePoint NextPublish{};
  TimePoint NextAdviceRefresh{};
  bool EntryReadInFlight = false;
  // Since the last published status.
  size_t CommitsSent = 0;
  size_t CommitEntries = 0;
  size_t CommitBytes = 0;
  Micros PlanningTime{0}; ///< Of turns that plan.
  Micros TurnTime{0};     ///< Of the others.

  std::atomic<bool> HasChange{false}; ///< Since the last look at the pacers.
  std::atomic<bool> Releasing{false};
  std::atomic<bool> Finished{false};
  Thread Loop;
};

} // namespace daisylanding::node

#endif
