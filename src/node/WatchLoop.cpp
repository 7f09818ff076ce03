#include "node/WatchLoop.h"

#include "common/Log.h"

#include <functional>

namespace daisylanding::node {

namespace {

constexpr Millis LongestPoll{50};
/// A feed may hear nothing while changes are made; asking anew this often
/// keeps the configuration within its bound of two seconds.
constexpr Millis ConfigFeedWait{700};
constexpr Millis ReadRetry{100};
/// Between two reads of an owner's row; they also tell how slow the store is.
constexpr Millis OwnerInterval{300};
/// Spreads the tries of entries that are alike.
constexpr uint32_t JitterSteps = 3;

} // namespace

WatchLoop::WatchLoop(Shared &Common, AdviceDesk &Desk, relay::RelayLoop &Relay)
    : Common(Common), Desk(Desk), Relay(Relay),
      Calls({.MaxConnectionsPerHost = 16}),
      Dice(std::hash<std::string>()(Common.holder())) {}

WatchLoop::~WatchLoop() { stop(); }

void WatchLoop::start() {
  Loop.start("watch", [this] { run(); });
}

void WatchLoop::stop() {
  Loop.requestStop();
  Calls.wake();
  Loop.join();
  Cells.clear();
}

void WatchLoop::release(Millis Longest) {
  Releasing.store(true);
  Calls.wake();
  TimePoint Until = monotonicNow() + Longest;
  constexpr Millis Pause{10};
  while (CellCount.load() > 0 && monotonicNow() < Until)
    std::this_thread::sleep_for(Pause);
}

void WatchLoop::run() {
  Store = Common.Around.store(Calls);
  readConfig();
  announce();
  while (!Loop.stopping()) {
    TimePoint Now = monotonicNow();
    Later.runDue(Now);
    if (Common.Config.current() && !Releasing.load())
      watchOwners(Now);
    if (Releasing.load()) {
      for (const auto &Each : Cells)
        Each->release();
    }
    dropFinished();
    Calls.poll(LongestPoll);
  }
}

/// Tells the other entries where this one's relay listens.
void WatchLoop::announce() {
  store::Transaction Tx;
  Tx.Writes.push_back({.Table = cell::MemberTable,
                       .Key = Common.Options.Name,
                       .Value = Common.Options.RelayAddress.text()});
  Store->commit(Tx, [this](const store::TransactionResult &Result) {
    if (Result.Outcome == store::TransactionOutcome::Committed)
      return;
    Later.schedule(monotonicNow() + ReadRetry, [this] { announce(); });
  });
}

void WatchLoop::takeConfig(const store::Row &Row) {
  const Documents &Texts = Common.Around.documents();
  if (Row.Key != Texts.configKey() || Row.Deleted)
    return;
  auto Next = Texts.config(Row.Value);
  if (!Next) {
    logError("config-unreadable", "version={}", Row.Version);
    return;
  }
  uint64_t Version = Next->Version;
  size_t Queues = Next->Queues.size();
  if (Common.Config.replaceIfNewer(
          std::make_shared<const cell::CellConfig>(std::move(*Next)))) {
    logInfo("config-in-force", "version={} queues={} row={}", Version, Queues,
            Row.Version);
    Common.Events.add("config-in-force", std::to_string(Version));
  }
}

void WatchLoop::readConfig() {
  const Documents &Texts = Common.Around.documents();
  store::RangeRead Range{
      .Table = Texts.configTable(), .From = Texts.configKey(), .Limit = 1};
  Store->read(Range, [this](const Result<store::RowPage> &Page) {
    if (!Page) {
      Later.schedule(monotonicNow() + ReadRetry, [this] { readConfig(); });
      return;
    }
    Common.Store.answered(monotonicNow(), Page->StoreClockMs);
    for (const store::Row &Each : Page->Rows)
      takeConfig(Each);
    ConfigFeed.restart(Page->Version);
    followConfig();
  });
}

void WatchLoop::followConfig() {
  store::ChangeQuery Query{.Table = Common.Around.documents().configTable(),
                           .After = ConfigFeed.position(),
                           .MaxWait = ConfigFeedWait};
  Store->readChanges(Query, [this](const Result<store::ChangePage> &Page) {
    if (!Page) {
      logInfo("config-feed-lost", "error={}", Page.error().message());
      Later.schedule(monotonicNow() + ReadRetry, [this] { readConfig(); });
      return;
    }
    Common.Store.answered(monotonicNow(), Page->StoreClockMs);
    for (const store::Row &Each : Page->Rows)
      takeConfig(Each);
    ConfigFeed.advance(*Page, monotonicNow());
    followConfig();
  });
}

bool WatchLoop::owns(const std::string &Service) const {
  for (const auto &Each : Cells) {
    if (Each->service() == Service)
      return true;
  }
  return false;
}

/// Services that this entry has, or has asked for.
uint32_t WatchLoop::ownedOrTaken() const {
  auto Out = static_cast<uint32_t>(Cells.size());
  for (const auto &Each : Owners)
    Out += Each.second.TakeOpen ? 1 : 0;
  return Out;
}

void WatchLoop::watchOwners(TimePoint Now) {
  Micros OldestRead{0};
  for (const std::string &Service : Common.Config.current()->Services) {
    Watched &Each = Owners[Service];
    if (!Each.ReadOpen && Now >= Each.NextRead)
      readOwner(Service, Now);
    if (Each.ReadOpen)
      OldestRead = std::max(OldestRead, Micros(Now - Each.ReadSent));
    uint32_t Preference = JitterSteps * ownedOrTaken() + Each.Jitter;
    if (!Each.TakeOpen && !owns(Service) &&
        Each.Watch.shouldTake(Common.holder(), Preference, Now))
      take(Service, Now);
  }
  Common.Store.readOpenFor(OldestRead);
}

void WatchLoop::readOwner(const std::string &Service, TimePoint Now) {
  Watched &Each = Owners[Service];
  Each.ReadOpen = true;
  Each.ReadSent = Now;
  Each.Jitter = static_cast<uint32_t>(Dice.below(JitterSteps));
  store::RangeRead Range{
      .Table = cell::OwnerTable, .Partition = Service, .Limit = 1};
  Store->read(
      Range, [this, Service, Asked = Now](const Result<store::RowPage> &Page) {
        Watched &Known = Owners[Service];
        TimePoint Now = monotonicNow();
        Known.ReadOpen = false;
        Known.NextRead = Now + OwnerInterval;
        if (!Page) {
          Known.Watch.readFailed();
          return;
        }
        Common.Store.answered(Now, Page->StoreClockMs);
        Common.Store.readTook(Now - Asked);
        if (Page->Rows.empty()) {
          Known.Watch.sawRow(0, std::nullopt, Now - Asked, Now);
          return;
        }
        auto Row = cell::decodeOwnerRow(Page->Rows.front().Value);
        if (!Row) {
          logError("owner-row-unreadable", "service={}", Service);
          return;
        }
        Common.Pending.set(Service, Row->PendingJobs);
        Common.Owners.set(Service, Row->Released ? "" : Row->RelayAddress);
        Known.Watch.sawRow(Page->Rows.front().Version, *Row, Now - Asked, Now);
      });
}

void WatchLoop::take(const std::string &Service, TimePoint Now) {
  Watched &Each = Owners[Service];
  Each.TakeOpen = true;
  cell::OwnerRow Mine = Each.Watch.successor(Common.holder());
  Mine.RelayAddress = Common.Options.RelayAddress.text();
  store::Transaction Tx;
  Tx.Partition = Service;
  Tx.Preconditions.push_back({.Table = cell::OwnerTable,
                              .Key = cell::OwnerKey,
                              .Version = Each.Watch.version()});
  Tx.Writes.push_back({.Table = cell::OwnerTable,
                       .Key = cell::OwnerKey,
                       .Value = cell::encodeOwnerRow(Mine)});
  TimePoint LastRenewal = Now - Each.Watch.silentFor(Now);
  Store->commit(Tx, [this, Service, Mine, Now,
                     LastRenewal](const store::TransactionResult &Result) {
    Watched &Known = Owners[Service];
    Known.TakeOpen = false;
    Known.NextRead = {};
    Known.Watch.readFailed();
    if (Result.Outcome != store::TransactionOutcome::Committed) {
      // An unanswered try that went through is never used: its epoch ends
      // when this entry, or another, takes the service again.
      logInfo("service-not-taken", "service={} epoch={} outcome={}", Service,
              Mine.Epoch, static_cast<int>(Result.Outcome));
      return;
    }
    logInfo("takeover", "service={} epoch={} took_ms={}", Service, Mine.Epoch,
            toMillis(monotonicNow() - Now));
    Cells.push_back(std::make_unique<CellLoop>(
        Common, Desk, Relay, Service, Mine, Result.Version, LastRenewal));
    CellCount.store(Cells.size());
    Cells.back()->start();
  });
}

void WatchLoop::dropFinished() {
  std::erase_if(Cells, [](const auto &Each) { return Each->finished(); });
  CellCount.store(Cells.size());
}

} // namespace daisylanding::node
