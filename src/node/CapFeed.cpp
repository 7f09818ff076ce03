#include "node/CapFeed.h"

#include "cell/CapRow.h"
#include "common/Log.h"

#include <algorithm>
#include <utility>

namespace daisylanding::node {

namespace {

/// A feed read may miss changes made while it waits.
constexpr Millis FeedWait{300};
constexpr Millis ReadRetryDelay{100};

} // namespace

CapFeed::CapFeed(std::string Service, cell::CellOwner &Owner,
                 store::RowStore &Store, Timers &TimerQueue,
                 std::function<void(int64_t)> OnStoreAnswer,
                 std::function<void()> OnChange)
    : Service(std::move(Service)), Owner(Owner), Store(Store),
      TimerQueue(TimerQueue), OnStoreAnswer(std::move(OnStoreAnswer)),
      OnChange(std::move(OnChange)) {}

void CapFeed::follow(std::shared_ptr<const cell::CellConfig> NewConfig) {
  bool HasOtherServices = !Config || Config->Services != NewConfig->Services;
  Config = std::move(NewConfig);
  if (!Owner.sharesCaps()) {
    IsFollowing = false;
    ++Readings;
    return;
  }
  if (IsFollowing && !HasOtherServices)
    return;
  IsFollowing = true;
  readAll();
}

void CapFeed::readAll() {
  ++Readings;
  ReadVersion = 0;
  OwnRow.reset();
  Unread = {Service};
  for (const std::string &Other : Config->Services) {
    if (Other != Service)
      Unread.push_back(Other);
  }
  readNext();
}

void CapFeed::readNext() {
  store::RangeRead Range{.Table = cell::CapTable,
                         .Partition = Unread.back(),
                         .From = cell::CapKey,
                         .Limit = 1};
  Store.read(Range, [this, Reading = Readings](const auto &Page) {
    if (!isCurrent(Reading))
      return;
    if (!Page) {
      logInfo("caps-read-failed", "service={} of={} error={}", Service,
              Unread.back(), Page.error().message());
      retryLater();
      return;
    }
    OnStoreAnswer(Page->StoreClockMs);
    if (ReadVersion == 0)
      ReadVersion = Page->Version;
    for (store::Row Row : Page->Rows) {
      Row.Partition = Unread.back();
      apply(Row);
    }
    Unread.pop_back();
    if (Unread.empty())
      finishReading();
    else
      readNext();
  });
}

/// The own row is as this owner's predecessors left it, or as it wrote it.
void CapFeed::finishReading() {
  if (!Owner.capsRestored())
    Owner.restoreCaps(OwnRow);
  Cursor.restart(ReadVersion);
  OnChange();
  followFeed();
}

void CapFeed::followFeed() {
  store::ChangeQuery Query{
      .Table = cell::CapTable, .After = Cursor.position(), .MaxWait = FeedWait};
  TimePoint SentAt = monotonicNow();
  Store.readChanges(Query, [=, this, Reading = Readings](const auto &Page) {
    if (!isCurrent(Reading))
      return;
    if (!Page) {
      logInfo("caps-feed-lost", "service={} error={}", Service,
              Page.error().message());
      retryLater();
      return;
    }
    OnStoreAnswer(Page->StoreClockMs);
    for (const store::Row &Row : Page->Rows)
      apply(Row);
    if (!Page->Rows.empty())
      OnChange();
    Cursor.advance(*Page, SentAt, monotonicNow());
    followFeed();
  });
}

/// A row that can't be read, or isn't its service's own, changes nothing.
void CapFeed::apply(const store::Row &Row) {
  if (Row.Key != cell::CapKey || Row.Deleted)
    return;
  auto Decoded = cell::decodeCapRow(Row.Value);
  bool IsOwnRow = Row.Partition == Service;
  if (!Decoded || Decoded->Service != Row.Partition) {
    logError("cap-row-unreadable", "service={} version={} writer={}",
             Row.Partition, Row.Version,
             Decoded ? Decoded->Service : "unknown");
    return;
  }
  if (IsOwnRow)
    OwnRow = std::move(*Decoded);
  else
    Owner.addCapRow(Row.Partition, *Decoded, Row.Version);
}

void CapFeed::retryLater() {
  TimerQueue.schedule(monotonicNow() + ReadRetryDelay,
                      [this, Reading = Readings] {
                        if (isCurrent(Reading))
                          readAll();
                      });
}

} // namespace daisylanding::node
