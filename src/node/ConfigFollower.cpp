#include "node/ConfigFollower.h"

#include "common/Log.h"

namespace daisylanding::node {

namespace {

constexpr Millis ReadRetryDelay{100};

} // namespace

/// Names the first field that is not as allowed.
void ConfigFollower::logUnreadable(const store::Row &Row,
                                   std::span<const ConfigProblem> Problems) {
  for (const ConfigProblem &Problem : Problems) {
    if (!Problem.IsFatal)
      continue;
    logError("config-unreadable",
             "row={} in_force={} field={} allowed=\"{}\" problems={}",
             Row.Version, versionInForce(), Problem.Field, Problem.Allowed,
             Problems.size());
    Context.EntryMetrics.count("configs_unreadable");
    return;
  }
}

void ConfigFollower::apply(const store::Row &Row, bool IsFromFeed) {
  const DocumentCodec &Codec = Context.Platform.codec();
  if (Row.Key != Codec.configKey() || Row.Deleted)
    return;
  std::vector<ConfigProblem> Problems;
  auto Config = Codec.parseConfig(Row.Value, Problems);
  if (!Config) {
    logUnreadable(Row, Problems);
    return;
  }
  uint64_t Version = Config->Version;
  size_t Queues = Config->Queues.size();
  if (Context.Config.replaceIfNewer(
          std::make_shared<const cell::CellConfig>(std::move(*Config)),
          IsFromFeed)) {
    logInfo("config-in-force",
            "version={} queues={} row={} bytes={} from_feed={}", Version,
            Queues, Row.Version, Row.Value.size(), IsFromFeed);
    Context.Events.add("config-in-force", std::to_string(Version));
  }
}

/// Of the configuration in force; 0 if there is none.
uint64_t ConfigFollower::versionInForce() const {
  auto Config = Context.Config.current();
  return Config ? Config->Version : 0;
}

void ConfigFollower::readAll() {
  const DocumentCodec &Codec = Context.Platform.codec();
  store::RangeRead Range{
      .Table = Codec.configTable(), .From = Codec.configKey(), .Limit = 1};
  TimePoint SentAt = monotonicNow();
  Store.read(Range, [this, SentAt](const Result<store::RowPage> &Page) {
    if (!Page) {
      logInfo("config-read-failed", "error={} in_force={}",
              Page.error().message(), versionInForce());
      Context.EntryMetrics.count("config_reads_failed");
      TimerQueue.schedule(monotonicNow() + ReadRetryDelay,
                          [this] { readAll(); });
      return;
    }
    Context.StoreHealth.recordAnswer(monotonicNow(), Page->StoreClockMs);
    for (const store::Row &Row : Page->Rows)
      apply(Row, false);
    Context.ConfirmedConfig.record(SentAt);
    Cursor.restart(Page->Version);
    followFeed();
  });
}

void ConfigFollower::followFeed() {
  store::ChangeQuery Query{.Table = Context.Platform.codec().configTable(),
                           .After = Cursor.position(),
                           .MaxWait = FeedWait};
  TimePoint SentAt = monotonicNow();
  Store.readChanges(
      Query, [this, SentAt](const Result<store::ChangePage> &Page) {
        if (!Page) {
          logInfo("config-feed-lost", "error={} in_force={} after={}",
                  Page.error().message(), versionInForce(), Cursor.position());
          Context.EntryMetrics.count("config_feeds_lost");
          TimerQueue.schedule(monotonicNow() + ReadRetryDelay,
                              [this] { readAll(); });
          return;
        }
        Context.StoreHealth.recordFeedPage(monotonicNow(), *Page);
        for (const store::Row &Row : Page->Rows)
          apply(Row, true);
        // A change made while the page was awaited may be missing from it.
        Context.ConfirmedConfig.record(SentAt);
        Cursor.advance(*Page, SentAt, monotonicNow());
        followFeed();
      });
}

} // namespace daisylanding::node
