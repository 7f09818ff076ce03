#include "node/ExecutorList.h"

#include "common/Log.h"

namespace daisylanding::node {

namespace {

/// Between two whole reads: a start is allowed on a list that is younger than
/// the time in which a leaving executor must get no more of them.
constexpr Millis WholeInterval{700};
constexpr Millis FeedWait{1'500};
constexpr Millis Retry{100};

} // namespace

ExecutorList::ExecutorList(store::RowStore &Store, const Documents &Texts,
                           Timers &Later, std::function<void(int64_t)> OnAnswer)
    : Store(Store), Texts(Texts), Later(Later), OnAnswer(std::move(OnAnswer)),
      Cursor(store::MaxFeedLag) {}

std::optional<std::vector<executor::ExecutorInfo>> ExecutorList::changes() {
  if (!Changed)
    return std::nullopt;
  Changed = false;
  std::vector<executor::ExecutorInfo> Out;
  for (const auto &Each : Entries) {
    if (Each.second.Info)
      Out.push_back(*Each.second.Info);
  }
  return Out;
}

void ExecutorList::start() { readWhole(); }

void ExecutorList::readWhole() { readPage("", monotonicNow()); }

void ExecutorList::readPage(const std::string &From, TimePoint Asked) {
  store::RangeRead Range{.Table = Texts.executorTable(), .From = From};
  Store.read(Range, [this, From, Asked](const Result<store::RowPage> &Page) {
    TimePoint Now = monotonicNow();
    if (!Page) {
      Later.schedule(Now + Retry, [this] { readWhole(); });
      return;
    }
    OnAnswer(Page->StoreClockMs);
    takePage(*Page, From);
    if (From.empty())
      WholeVersion = Page->Version;
    if (auto Next = store::nextPageStart(*Page)) {
      readPage(*Next, Asked);
      return;
    }
    Confirmed = Asked;
    Later.schedule(std::max(Now, Asked + WholeInterval),
                   [this] { readWhole(); });
    if (Following)
      return;
    Following = true;
    Cursor.restart(Page->Version);
    follow();
  });
}

void ExecutorList::takePage(const store::RowPage &Page,
                            const std::string &From) {
  for (const store::Row &Each : Page.Rows) {
    auto Known = Entries.find(Each.Key);
    bool News = Known == Entries.end() || Known->second.Version < Each.Version;
    if (News && Following && Each.Version <= Cursor.position()) {
      ++Skipped;
      logWarn("feed-skipped", "executor={} version={} feed_at={}", Each.Key,
              Each.Version, Cursor.position());
    }
    take(Each);
  }
  dropAbsent(Page, From);
}

/// What the page passes over was removed, unless it is newer than the page.
void ExecutorList::dropAbsent(const store::RowPage &Page,
                              const std::string &From) {
  auto At = Entries.lower_bound(From);
  auto End = Page.HasMore && !Page.Rows.empty()
                 ? Entries.upper_bound(Page.Rows.back().Key)
                 : Entries.end();
  auto Row = Page.Rows.begin();
  while (At != End) {
    while (Row != Page.Rows.end() && Row->Key < At->first)
      ++Row;
    bool Present = Row != Page.Rows.end() && Row->Key == At->first;
    if (Present || At->second.Version > Page.Version) {
      ++At;
      continue;
    }
    replace(At->first, At->second, {.Version = Page.Version});
    At = Entries.erase(At);
  }
}

void ExecutorList::follow() {
  store::ChangeQuery Query{.Table = Texts.executorTable(),
                           .After = Cursor.position(),
                           .MaxWait = FeedWait};
  Store.readChanges(Query, [this](const Result<store::ChangePage> &Page) {
    TimePoint Now = monotonicNow();
    if (!Page) {
      // The next whole read sets the feed up anew.
      if (Page.error() == Errc::HistoryGone)
        Following = false;
      else
        Later.schedule(Now + Retry, [this] { follow(); });
      return;
    }
    OnAnswer(Page->StoreClockMs);
    // What a whole read has seen already may be older than what it told.
    for (const store::Row &Each : Page->Rows) {
      if (Each.Version > WholeVersion)
        take(Each);
    }
    Cursor.advance(*Page, Now);
    follow();
  });
}

void ExecutorList::take(const store::Row &Row) {
  Entry &Known = Entries[Row.Key];
  if (Row.Version <= Known.Version)
    return;
  Entry Next{.Version = Row.Version};
  if (!Row.Deleted) {
    auto Info = Texts.executor(Row.Key, Row.Value);
    if (Info)
      Next.Info = std::move(*Info);
    else
      logWarn("executor-entry-unreadable", "executor={} version={}", Row.Key,
              Row.Version);
  }
  replace(Row.Key, Known, std::move(Next));
}

void ExecutorList::replace(const std::string &Id, Entry &Known, Entry Next) {
  bool Leaves = Known.Info && !Next.Info;
  bool Drains =
      Next.Info && Next.Info->Draining && !(Known.Info && Known.Info->Draining);
  if (Leaves)
    logInfo("executor-unlisted", "executor={} version={}", Id, Next.Version);
  if (Drains)
    logInfo("executor-draining", "executor={} version={}", Id, Next.Version);
  Known = std::move(Next);
  Changed = true;
}

} // namespace daisylanding::node
