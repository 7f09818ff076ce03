#include "node/ExecutorList.h"

#include "common/Log.h"

namespace daisylanding::node {

namespace {

constexpr Millis FeedWait{1'500};

} // namespace

ExecutorList::ExecutorList(store::RowStore &Store, const DocumentCodec &Codec,
                           Timers &TimerQueue,
                           std::function<void(int64_t)> OnStoreAnswer)
    : Store(Store), Codec(Codec), TimerQueue(TimerQueue),
      OnStoreAnswer(std::move(OnStoreAnswer)), Cursor(store::MaxFeedLag) {}

std::optional<std::vector<executor::ExecutorInfo>> ExecutorList::takeChanges() {
  if (!Changed)
    return std::nullopt;
  Changed = false;
  std::vector<executor::ExecutorInfo> Infos;
  for (const auto &Listed : Executors) {
    if (Listed.second.Info)
      Infos.push_back(*Listed.second.Info);
  }
  return Infos;
}

void ExecutorList::start() { readAll(); }

void ExecutorList::readAll() { readPage("", monotonicNow()); }

void ExecutorList::readPage(const std::string &FromKey, TimePoint RequestedAt) {
  store::RangeRead Range{.Table = Codec.executorTable(), .From = FromKey};
  Store.read(
      Range, [this, FromKey, RequestedAt](const Result<store::RowPage> &Page) {
        TimePoint Now = monotonicNow();
        if (!Page) {
          TimerQueue.schedule(Now + RetryDelay, [this] { readAll(); });
          return;
        }
        OnStoreAnswer(Page->StoreClockMs);
        applyPage(*Page, FromKey);
        if (FromKey.empty())
          FullReadVersion = Page->Version;
        if (auto NextKey = store::nextPageStart(*Page)) {
          readPage(*NextKey, RequestedAt);
          return;
        }
        ConfirmedAt = RequestedAt;
        TimerQueue.schedule(std::max(Now, RequestedAt + FullReadInterval),
                            [this] { readAll(); });
        if (FollowingFeed)
          return;
        FollowingFeed = true;
        Cursor.restart(Page->Version);
        followFeed();
      });
}

void ExecutorList::applyPage(const store::RowPage &Page,
                             const std::string &FromKey) {
  for (const store::Row &Row : Page.Rows) {
    auto It = Executors.find(Row.Key);
    bool IsNewer = It == Executors.end() || It->second.Version < Row.Version;
    if (IsNewer && FollowingFeed && Row.Version <= Cursor.position()) {
      ++Skipped;
      logWarn("feed-skipped", "executor={} version={} feed_at={}", Row.Key,
              Row.Version, Cursor.position());
    }
    applyRow(Row);
  }
  removeAbsent(Page, FromKey);
}

/// Marks executors missing from the page as removed, unless their version is
/// newer than the page.
void ExecutorList::removeAbsent(const store::RowPage &Page,
                                const std::string &FromKey) {
  auto It = Executors.lower_bound(FromKey);
  auto End = Page.HasMore && !Page.Rows.empty()
                 ? Executors.upper_bound(Page.Rows.back().Key)
                 : Executors.end();
  auto Row = Page.Rows.begin();
  while (It != End) {
    while (Row != Page.Rows.end() && Row->Key < It->first)
      ++Row;
    bool IsListed = Row != Page.Rows.end() && Row->Key == It->first;
    if (IsListed || It->second.Version > Page.Version) {
      ++It;
      continue;
    }
    replace(It->first, It->second, {.Version = Page.Version});
    It = Executors.erase(It);
  }
}

void ExecutorList::followFeed() {
  store::ChangeQuery Query{.Table = Codec.executorTable(),
                           .After = Cursor.position(),
                           .MaxWait = FeedWait};
  TimePoint SentAt = monotonicNow();
  Store.readChanges(Query, [this, SentAt](const auto &Page) {
    TimePoint Now = monotonicNow();
    if (!Page) {
      // The next full read restarts the feed.
      if (Page.error() == Errc::HistoryGone)
        FollowingFeed = false;
      else
        TimerQueue.schedule(Now + RetryDelay, [this] { followFeed(); });
      return;
    }
    if (!Page->Rows.empty())
      OnStoreAnswer(Page->StoreClockMs);
    // Rows up to the last full read's version may be older than its content.
    for (const store::Row &Row : Page->Rows) {
      if (Row.Version > FullReadVersion)
        applyRow(Row);
    }
    Cursor.advance(*Page, SentAt, Now);
    followFeed();
  });
}

void ExecutorList::applyRow(const store::Row &Row) {
  ListedExecutor &Existing = Executors[Row.Key];
  bool IsNewer = Row.Version > Existing.Version;
  // The wall clock may have been wrong, or have caught up.
  bool IsDue = Existing.BornAhead && Row.Version == Existing.Version;
  if (!IsNewer && !IsDue)
    return;
  ListedExecutor Updated{.Version = Row.Version};
  if (!Row.Deleted)
    readEntry(Row, Updated);
  if (IsNewer && Updated.BornAhead)
    logOddEntry(Row, "born-ahead");
  if (IsNewer || Updated.Info)
    replace(Row.Key, Existing, std::move(Updated));
}

void ExecutorList::readEntry(const store::Row &Row, ListedExecutor &Updated) {
  auto Info = Codec.parseExecutor(Row.Key, Row.Value);
  if (!Info) {
    logOddEntry(Row, "malformed");
    return;
  }
  Updated.BornAhead = executor::isBornAhead(Info->Born, Micros(wallMicros()));
  if (!Updated.BornAhead)
    Updated.Info = std::move(*Info);
}

void ExecutorList::logOddEntry(const store::Row &Row, std::string_view Reason) {
  uint64_t Dropped = 0;
  if (!OddEntryLog.admit(monotonicNow(), Dropped))
    return;
  logWarn("executor-entry-unreadable",
          "executor={} version={} bytes={} reason={} lines_dropped={}", Row.Key,
          Row.Version, Row.Value.size(), Reason, Dropped);
}

void ExecutorList::replace(const std::string &Id, ListedExecutor &Existing,
                           ListedExecutor Updated) {
  bool Removed = Existing.Info && !Updated.Info;
  bool StartsDraining = Updated.Info && Updated.Info->Draining &&
                        !(Existing.Info && Existing.Info->Draining);
  if (Removed)
    logInfo("executor-unlisted", "executor={} version={}", Id, Updated.Version);
  if (StartsDraining)
    logInfo("executor-draining", "executor={} version={}", Id, Updated.Version);
  Existing = std::move(Updated);
  Changed = true;
}

} // namespace daisylanding::node
