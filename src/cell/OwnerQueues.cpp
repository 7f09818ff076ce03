#include "cell/CellOwner.h"

#include "common/Log.h"
#include "store/FeedCursor.h"

#include <algorithm>

/// Queues that are served elsewhere. A job's id is unique within its partition,
/// so a queue that is sent to another service takes a statement of the owner
/// that it leaves: from the commit on that states the newer configuration,
/// nothing of that queue is stored here any more, and the row lists it as long
/// as the partition may hold its jobs.
namespace daisylanding::cell {

namespace {

/// Jobs that entries have stored are known from the feed after this time.
constexpr Millis FeedSettleTime{store::MaxFeedLag};

} // namespace

bool CellOwner::isServedElsewhere(std::string_view QueueName) const {
  const Queue *Found = findQueue(QueueName);
  return Found && Found->Service != Options.Service;
}

/// Whether a job of the queue may be stored that no other service had by the
/// configuration \p SearchedVersion. A later one may have sent the queue
/// elsewhere meanwhile, and back again. An owner that has not yet learned of
/// the configuration that an earlier one stated can't tell where it sends the
/// queue.
bool CellOwner::mayStoreOffered(std::string_view QueueName,
                                uint64_t SearchedVersion) const {
  const Queue *Found = findQueue(QueueName);
  if (Config->Version < Row.Queues.ConfigVersion || !Found ||
      Found->Service != Options.Service)
    return false;
  return SearchedVersion >= Config->Version ||
         (Options.Others && !Options.Others->mayHold(*Found, *Config));
}

bool CellOwner::mayStateConfig() const {
  return !Loading && Config->Version >= Row.Queues.ConfigVersion &&
         Config->Version > 0;
}

bool CellOwner::isNewConfigDue() const {
  return mayStateConfig() && Config->Version > Row.Queues.ConfigVersion;
}

/// The configuration may have changed since they were taken.
void CellOwner::dropOutdatedOffers(TimePoint Now) {
  std::vector<std::string> Dropped;
  for (const auto &Entry : OpenOffers) {
    const LiveJob *Job = findJob(Entry.first);
    if (Job && !Job->Stored &&
        !mayStoreOffered(Job->Spec.Queue, Job->SearchedVersion))
      Dropped.push_back(Entry.first);
  }
  for (const std::string &Id : Dropped) {
    logInfo("offer-outdated", "job={} searched={} config={}", Id,
            Jobs.at(Id).SearchedVersion, Config->Version);
    dropOfferedJob(Id, Now);
    answerOffers(Id, OfferOutcome::NotOwner);
  }
}

/// States the configuration in force, and fences what entries store by older
/// ones.
void CellOwner::stateConfig(CommitInFlight &Commit, TimePoint Now) {
  if (!mayStateConfig())
    return;
  QueueStatement &Statement = Commit.Row.Queues;
  if (Config->Version > Statement.ConfigVersion) {
    Commit.Transaction.Writes.push_back(
        {.Table = StatedConfigTable,
         .Key = StatedConfigKey,
         .Value = std::to_string(Config->Version)});
    noteLeftQueues(Now);
  }
  if (!StatedConfig || StatedConfig->Version < Config->Version)
    StatedConfig = Config;
  listMovedQueues(Statement, Now);
  if (Statement.ConfigVersion != Config->Version)
    logInfo("config-stated", "service={} version={} before={} moved={} any={}",
            Options.Service, Config->Version, Statement.ConfigVersion,
            Statement.MovedQueues.size(), Statement.MayHoldAny);
  Statement.ConfigVersion = Config->Version;
}

/// Entries may have stored jobs of these queues that the feed has not told of.
void CellOwner::noteLeftQueues(TimePoint Now) {
  if (!StatedConfig)
    return;
  for (const Queue &Before : StatedConfig->Queues) {
    const Queue *Present = findQueue(Before.Name);
    bool IsServedHere = Present && Present->Service == Options.Service;
    if (Before.Service == Options.Service && !IsServedHere)
      LeftQueues[Before.Name] = Now + 2 * Options.StatusRetention;
  }
}

/// Whether all stored jobs are known. An owner whose predecessor stated the
/// same configuration adds to what that one listed.
bool CellOwner::isHoldingKnown() const {
  bool WasStated =
      Options.AcquiredRow.Queues.ConfigVersion == Config->Version ||
      (ConfigStatedAt != TimePoint{} &&
       JobFeedConfirmedAt >= ConfigStatedAt + FeedSettleTime);
  return EndedRowsRead && WasStated;
}

void CellOwner::listMovedQueues(QueueStatement &Statement, TimePoint Now) {
  const QueueStatement &Acquired = Options.AcquiredRow.Queues;
  std::set<std::string> &Listed = Statement.MovedQueues;
  HoldingKnown = HoldingKnown || isHoldingKnown();
  Statement.MayHoldAny = EndedByQueue.count("") > 0;
  Listed.clear();
  if (!HoldingKnown && Acquired.ConfigVersion == Config->Version) {
    Listed = Acquired.MovedQueues;
    Statement.MayHoldAny = Statement.MayHoldAny || Acquired.MayHoldAny;
  } else if (!HoldingKnown) {
    Statement.MayHoldAny = true;
  }
  std::erase_if(LeftQueues,
                [&](const auto &Left) { return Left.second <= Now; });
  auto ListIfMoved = [&](const std::string &Name) {
    if (isServedElsewhere(Name))
      Listed.insert(Name);
  };
  for (const auto &Left : LeftQueues)
    ListIfMoved(Left.first);
  for (const auto &Ended : EndedByQueue)
    ListIfMoved(Ended.first);
  for (const auto &Entry : Jobs)
    ListIfMoved(Entry.second.Spec.Queue);
  if (Listed.size() <= QueueStatement::MaxMovedQueues)
    return;
  Listed.clear();
  Statement.MayHoldAny = true;
}

} // namespace daisylanding::cell
