#include "node/WatchLoop.h"

#include "common/Log.h"
#include "node/CountedStore.h"
#include "node/EntryCapacities.h"

#include <functional>

namespace daisylanding::node {

namespace {

constexpr Millis MaxPollWait{50};
constexpr Millis ReadRetryDelay{100};
/// Until a service has an owner, whose row names the largest entry.
constexpr Millis CapacityReadInterval{500};

/// For the leases of an owner whose row doesn't tell when they have expired.
Millis longestLeaseHorizon(Millis MaxLease) {
  cell::LeaseOptions Longest;
  Longest.LeaseDuration = MaxLease;
  return cell::leaseHorizon(Longest, Longest.OwnershipTimeout);
}

} // namespace

WatchLoop::WatchLoop(EntryContext &Context, AdviceLoop &Advice,
                     relay::RelayLoop &Relay)
    : Context(Context), Advice(Advice), Relay(Relay),
      Client({.MaxConnectionsPerHost = 16}),
      JitterSource(std::hash<std::string>()(Context.holder())) {}

WatchLoop::~WatchLoop() { stop(); }

void WatchLoop::start() {
  Loop.start("watch", [this] { run(); });
}

void WatchLoop::stop() {
  Loop.requestStop();
  Client.wake();
  Loop.join();
  OwnerLoops.clear();
}

void WatchLoop::release(Millis Timeout) {
  Releasing.store(true);
  Client.wake();
  TimePoint Deadline = monotonicNow() + Timeout;
  constexpr Millis PollInterval{10};
  while (OwnerLoopCount.load() > 0 && monotonicNow() < Deadline)
    std::this_thread::sleep_for(PollInterval);
}

void WatchLoop::run() {
  Store = std::make_unique<CountedStore>(Context.Platform.makeRowStore(Client),
                                         Context.EntryMetrics, "watch");
  Config = std::make_unique<ConfigFollower>(Context, *Store, TimerQueue);
  Config->start();
  announceEntry();
  readCapacities();
  while (!Loop.stopping()) {
    TimePoint Now = monotonicNow();
    TimerQueue.runDue(Now);
    if (Context.Config.current() && !Releasing.load())
      watchOwners(Now);
    if (Releasing.load()) {
      for (const auto &Owned : OwnerLoops)
        Owned->release();
    }
    removeFinishedLoops();
    Client.poll(MaxPollWait);
  }
}

/// Publishes the address of this entry's relay, and what it can carry, to the
/// other entries.
void WatchLoop::announceEntry() {
  store::Transaction Tx;
  Tx.Writes.push_back({.Table = cell::MemberTable,
                       .Key = Context.Options.Name,
                       .Value = Context.Options.RelayAddress.text()});
  Tx.Writes.push_back({.Table = cell::CapacityTable,
                       .Key = Context.Options.Name,
                       .Value = cell::encodeEntryCapacity(Context.capacity())});
  Store->commit(Tx, [this](const store::TransactionResult &Result) {
    if (Result.Outcome == store::TransactionOutcome::Committed)
      return;
    TimerQueue.schedule(monotonicNow() + ReadRetryDelay,
                        [this] { announceEntry(); });
  });
}

/// Learns what other entries can carry, until an owner's row tells it.
void WatchLoop::readCapacities() {
  bool IsToldByOwner = !Watches.empty();
  for (const auto &Watched : Watches)
    IsToldByOwner = IsToldByOwner && Watched.second.Owner.version() != 0;
  if (IsToldByOwner)
    return;
  Store->read({.Table = cell::CapacityTable},
              [this](const Result<store::RowPage> &Page) {
                if (Page)
                  LargestEntry = largestEntryIn(*Page);
                TimerQueue.schedule(monotonicNow() + CapacityReadInterval,
                                    [this] { readCapacities(); });
              });
}

/// Entries of a lower rank try earlier to acquire a service.
uint32_t WatchLoop::rankFor(const ServiceWatch &Watch) const {
  cell::EntryCapacity Largest =
      cell::largerOf(LargestEntry, Watch.Owner.largestEntry());
  AcquisitionRank Rank{.OwnedServices = ownedOrAcquiring(),
                       .Jitter = Watch.Jitter,
                       .IsMuchSmaller =
                           cell::isMuchSmaller(Context.capacity(), Largest)};
  return Rank.value();
}

bool WatchLoop::owns(const std::string &Service) const {
  for (const auto &Owned : OwnerLoops) {
    if (Owned->service() == Service)
      return true;
  }
  return false;
}

/// Number of services that this entry owns or is acquiring.
uint32_t WatchLoop::ownedOrAcquiring() const {
  auto Count = static_cast<uint32_t>(OwnerLoops.size());
  for (const auto &Watched : Watches)
    Count += Watched.second.AcquireInFlight ? 1 : 0;
  return Count;
}

void WatchLoop::watchOwners(TimePoint Now) {
  Micros OldestReadAge{0};
  for (const std::string &Service : Context.Config.current()->Services) {
    ServiceWatch &Watch = Watches[Service];
    if (Watch.Reads.isDue(Now, Context.StoreHealth.averageReadMs()))
      readOwner(Service, Now);
    OldestReadAge = std::max(OldestReadAge, Watch.Reads.oldestAge(Now));
    if (!Watch.AcquireInFlight && !owns(Service) &&
        Watch.Owner.shouldAcquire(Context.holder(), rankFor(Watch), Now))
      acquire(Service, Now);
  }
  Context.StoreHealth.setOpenReadAge(OldestReadAge);
}

void WatchLoop::readOwner(const std::string &Service, TimePoint Now) {
  ServiceWatch &Watch = Watches[Service];
  Watch.Reads.recordSent(Now);
  Watch.Jitter =
      static_cast<uint32_t>(JitterSource.below(AcquisitionRank::JitterSteps));
  store::RangeRead Range{
      .Table = cell::OwnerTable, .Partition = Service, .Limit = 1};
  Store->read(Range, [this, Service,
                      RequestedAt = Now](const Result<store::RowPage> &Page) {
    ServiceWatch &Watch = Watches[Service];
    TimePoint Now = monotonicNow();
    bool IsNewest = Watch.Reads.recordEnd(RequestedAt, bool(Page), Now);
    if (!Page) {
      if (IsNewest)
        Watch.Owner.recordReadFailure();
      return;
    }
    Context.StoreHealth.recordClock(RequestedAt, Now, Page->StoreClockMs);
    Context.StoreHealth.recordReadTime(Now - RequestedAt);
    if (!IsNewest)
      return;
    // The silence that kept older reads may have kept the owner from writing.
    if (Watch.Reads.hasOlder(RequestedAt))
      Watch.Owner.recordReadFailure();
    if (Page->Rows.empty()) {
      Watch.Owner.recordRow(0, std::nullopt, Now - RequestedAt, Now);
      return;
    }
    auto Row = cell::decodeOwnerRow(Page->Rows.front().Value);
    if (!Row) {
      logError("owner-row-unreadable", "service={}", Service);
      return;
    }
    Context.Pending.set(Service, {.RowVersion = Page->Rows.front().Version,
                                  .RowEpoch = Row->Epoch,
                                  .SentAt = RequestedAt,
                                  .Jobs = Row->Pending});
    Context.Owners.set(Service, Row->Released ? "" : Row->RelayAddress);
    Context.Statements.set(Service, Row->Queues);
    Context.Backlogs.set(Service, Row->Backlog);
    Watch.Owner.recordRow(Page->Rows.front().Version, *Row, Now - RequestedAt,
                          Now);
  });
}

void WatchLoop::acquire(const std::string &Service, TimePoint Now) {
  ServiceWatch &Watch = Watches[Service];
  Watch.AcquireInFlight = true;
  cell::OwnerRow OwnRow = Watch.Owner.successorRow(Context.holder());
  OwnRow.RelayAddress = Context.Options.RelayAddress.text();
  if (!OwnRow.LeasesEndMs)
    OwnRow.LeasesEndMs = Context.StoreHealth.clock(Now).MaxMs +
                         longestLeaseHorizon(Context.Options.MaxLease).count();
  store::Transaction Tx;
  Tx.Partition = Service;
  Tx.Preconditions.push_back({.Table = cell::OwnerTable,
                              .Key = cell::OwnerKey,
                              .Version = Watch.Owner.version()});
  Tx.Writes.push_back({.Table = cell::OwnerTable,
                       .Key = cell::OwnerKey,
                       .Value = cell::encodeOwnerRow(OwnRow)});
  Store->commit(
      Tx, [this, Service, OwnRow, Now](const store::TransactionResult &Result) {
        ServiceWatch &Watch = Watches[Service];
        Watch.AcquireInFlight = false;
        Watch.Reads.readAtOnce();
        Watch.Owner.recordReadFailure();
        if (Result.Outcome != store::TransactionOutcome::Committed) {
          // If an unanswered try was committed, its epoch is never used: it
          // ends when this entry or another acquires the service.
          logInfo("service-not-taken", "service={} epoch={} outcome={}",
                  Service, OwnRow.Epoch, static_cast<int>(Result.Outcome));
          return;
        }
        logInfo("takeover", "service={} epoch={} took_ms={}", Service,
                OwnRow.Epoch, toMillis(monotonicNow() - Now));
        OwnerLoops.push_back(std::make_unique<OwnerLoop>(
            Context, Advice, Relay, Service, OwnRow, Result.Version));
        OwnerLoopCount.store(OwnerLoops.size());
        OwnerLoops.back()->start();
      });
}

void WatchLoop::removeFinishedLoops() {
  std::erase_if(OwnerLoops,
                [](const auto &Owned) { return Owned->finished(); });
  OwnerLoopCount.store(OwnerLoops.size());
}

} // namespace daisylanding::node
