#include "node/OwnerLoop.h"

#include "common/Log.h"
#include "node/CountedStore.h"
#include "node/EntryCapacities.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylanding::node {

namespace {

/// Upper bound between two runs of the owner and its timers.
constexpr Millis MaxPollWait{20};
/// Pause between feed reads, so that job changes arrive in groups.
constexpr Millis JobFeedInterval{100};
/// How long a feed read waits for a first change. Bounds the age of the view of
/// the jobs while the feed delivers nothing.
constexpr Millis FeedWait{800};
/// A feed may deliver nothing for this long although changes are made.
constexpr Millis MaxFeedSilence{1'000};
/// From a decision to its order's arrival at the executor.
constexpr Millis OrderTransitTime{200};
constexpr Millis ReadRetryDelay{100};
/// Commits that got no answer are resent after a longer silence of the store.
constexpr Millis MinStoreSilence{700};
/// A loading owner that reads no further rows for this long releases the
/// service: another entry may reach the store.
constexpr Millis MaxLoadSilence{3'000};
constexpr Millis EntryReadInterval{3'000};
constexpr Millis PublishInterval{1'000};
/// Steps that have waited this long are logged, up to MaxReportedSteps of them.
constexpr Millis ReportedWait{3'000};
constexpr size_t MaxReportedSteps = 3;
/// Between two updates of the waiting advice calls' order.
constexpr Millis AdviceRefreshInterval{100};
constexpr size_t AnswerCapacity = 512;
/// Offers that wait for the owner; further ones are stored by their entries.
constexpr size_t OfferCapacity = 256;

/// Connections to executors and to the store that are kept open, in use or
/// not. Each executor takes one for the renewal that waits there and one for
/// orders; with fewer, each call would open a new one.
long maxConnections(const config::CellSettings &Options) {
  return static_cast<long>(Options.MaxDescriptors / 2);
}

} // namespace

OwnerLoop::OwnerLoop(EntryContext &Context, AdviceLoop &Advice,
                     relay::RelayLoop &Relay, std::string Service,
                     cell::OwnerRow OwnRow, uint64_t RowVersion)
    : Context(Context), Advice(Advice), Relay(Relay),
      Service(std::move(Service)), OwnRow(std::move(OwnRow)),
      RowVersion(RowVersion),
      Client({.MaxConnectionsPerHost = 32,
              .MaxIdleConnections = maxConnections(Context.Options)}),
      JobFeed(store::MaxFeedLag),
      AdviceAnswers(std::make_shared<MpscQueue<AdviceAnswer>>(
          AnswerCapacity, [this] { wakeForChange(); })),
      Offers(std::make_shared<cell::OfferMailbox>(OfferCapacity,
                                                  [this] { wakeForChange(); })),
      OtherServices(Context, this->Service), Gauges(this->Service) {}

OwnerLoop::~OwnerLoop() {
  AdviceAnswers->close();
  Offers->close();
  Loop.requestStop();
  Client.wake();
  Loop.join();
}

void OwnerLoop::start() {
  Loop.start("cell", [this] {
    run();
    Finished.store(true);
  });
}

void OwnerLoop::release() {
  Releasing.store(true);
  wakeForChange();
}

/// Callable from any thread.
void OwnerLoop::wakeForChange() {
  recordChange();
  Client.wake();
}

void OwnerLoop::run() {
  logInfo("service-taken", "service={} epoch={} holder={}", Service,
          OwnRow.Epoch, OwnRow.Holder);
  Context.Events.add("service-taken", Service,
                     fmt::format("epoch={}", OwnRow.Epoch));
  Store = std::make_unique<CountedStore>(Context.Platform.makeRowStore(Client),
                                         Context.EntryMetrics, "owner");
  Executors = Context.Platform.makeExecutorPort(Client);
  createOwner();
  AcquiredAt = monotonicNow();
  Loader = std::make_unique<ServiceLoader>(
      Service, *Store, TimerQueue,
      [this](int64_t StoreMillis) { recordStoreAnswer(StoreMillis); });
  Loader->start(RowVersion, AcquiredAt);
  Instances = std::make_unique<ExecutorList>(
      *Store, Context.Platform.codec(), TimerQueue,
      [this](int64_t StoreMillis) { recordStoreAnswer(StoreMillis); });
  Instances->start();
  Caps = std::make_unique<CapFeed>(
      Service, *Owner, *Store, TimerQueue,
      [this](int64_t StoreMillis) { recordStoreAnswer(StoreMillis); },
      [this] { recordChange(); });
  Caps->follow(Context.Config.current());
  while (!Loop.stopping()) {
    TimerQueue.runDue(monotonicNow());
    if (Loader)
      continueLoading(monotonicNow());
    takeTurnIfDue();
    sendNextCommit(monotonicNow());
    if (Owner->deposed() || Owner->released())
      break;
    auto UntilTurn =
        std::chrono::ceil<Millis>(TurnPace.timeLeft(monotonicNow()));
    Client.poll(std::min(UntilTurn, MaxPollWait));
    if (HasChange.exchange(false)) {
      TurnPace.recordChange();
      PlanPace.recordChange();
    }
  }
  Context.Offers.unregisterOwner(Service, Offers);
  Context.OwnedServices.remove(Service);
  Context.Events.add("service-left", Service,
                     fmt::format("epoch={}", OwnRow.Epoch));
  Owner->failOpenOffers();
  // The offering entries then store these jobs themselves.
  for (cell::Offer Offer; Offers->pop(Offer);)
    Offer.Done(cell::OfferOutcome::NotOwner);
  logInfo("service-left", "service={} epoch={} holder={} deposed={}", Service,
          OwnRow.Epoch, OwnRow.Holder, Owner->deposed());
}

void OwnerLoop::retryLater(std::function<void()> Action) {
  TimerQueue.schedule(monotonicNow() + ReadRetryDelay, std::move(Action));
}

void OwnerLoop::recordStoreAnswer(int64_t StoreMillis) {
  Context.StoreHealth.recordAnswer(monotonicNow(), StoreMillis);
}

TimePoint OwnerLoop::acceptedAt(const cell::JobSpec &Job, TimePoint Now) const {
  int64_t AgeMs = std::max<int64_t>(0, Context.StoreHealth.clockMillis(Now) -
                                           Job.AcceptedMs);
  return Now - Millis(AgeMs);
}

void OwnerLoop::createOwner() {
  TimePoint Now = monotonicNow();
  auto Config = Context.Config.current();
  ConfigVersion = Config->Version;
  cell::OwnerOptions Options{.Service = Service,
                             .AcquiredRow = OwnRow,
                             .RowVersion = RowVersion,
                             .ClockAtCreation = Context.StoreHealth.clock(Now),
                             .CreatedAt = Now,
                             .Loading = true,
                             .Others = &OtherServices,
                             .StatusRetention = Context.Options.StatusRetention,
                             .SpreadFactor = Context.Options.SpreadFactor};
  Options.Leases.LeaseDuration =
      std::min(Options.Leases.LeaseDuration, Context.Options.MaxLease);
  Options.MaxInstanceListAge = Context.Options.MaxDrainDelay - OrderTransitTime;
  Options.MaxJobFeedAge =
      Context.Options.MaxCancelDelay - MaxFeedSilence - OrderTransitTime;
  Owner = std::make_unique<cell::CellOwner>(std::move(Options), Config);
}

/// Ends the load when all rows are read, or releases the service if no more of
/// them arrive.
void OwnerLoop::continueLoading(TimePoint Now) {
  if (Loader->done()) {
    finishLoading(Now);
    return;
  }
  if (Releasing.load() || Now < Loader->lastProgressAt() + MaxLoadSilence)
    return;
  logWarn("load-stalled", "service={} epoch={} silent_ms={} rows={}", Service,
          OwnRow.Epoch, toMillis(Now - Loader->lastProgressAt()),
          Loader->counts().Rows);
  Releasing.store(true);
}

void OwnerLoop::finishLoading(TimePoint Now) {
  StoredService Stored = Loader->take();
  for (auto &[Key, Incarnations] : Stored.Incarnations)
    Owner->restoreIncarnations(Key, std::move(Incarnations));
  for (auto &[Id, Job] : Stored.Jobs) {
    if (Stored.UnreadableJobs.count(Id))
      continue;
    std::optional<cell::JobProgress> Progress;
    auto It = Stored.Progress.find(Id);
    if (It != Stored.Progress.end())
      Progress = std::move(It->second);
    if (Progress && !cell::fitsJob(*Progress, Job)) {
      logError("progress-of-other-job", "job={}", Id);
      Stored.UnreadableJobs.insert(Id);
      continue;
    }
    TimePoint AcceptedAt = acceptedAt(Job, Now);
    Owner->restore(std::move(Job), Progress, Stored.CancelledJobs.count(Id) > 0,
                   AcceptedAt, Now);
  }
  const LoadCounts Counts = Loader->counts();
  logInfo("service-loaded",
          "service={} epoch={} jobs={} live={} took_ms={} pages={} rows={} "
          "bytes={} failed_reads={}",
          Service, OwnRow.Epoch, Stored.Jobs.size(), Owner->liveJobCount(),
          toMillis(Now - AcquiredAt), Counts.Pages, Counts.Rows, Counts.Bytes,
          Counts.FailedReads);
  Owner->finishLoading();
  recordChange();
  UnreadableJobs = std::move(Stored.UnreadableJobs);
  Context.EntryMetrics.count("progress_unreadable",
                             static_cast<double>(UnreadableJobs.size()));
  JobFeed.restart(Stored.JobsVersion);
  Loader.reset();
  Context.Offers.registerOwner(Service, Offers);
  // The load may have taken long; the feed tells at once what came meanwhile.
  Owner->confirmJobFeed(Stored.JobsReadAt);
  followJobs(Millis(0));
  LoaderOfEnded = std::make_unique<EndedLoader>(
      Service, *Store, TimerQueue,
      [this](const std::string &JobId, const cell::EndedJob &Ended) {
        Owner->addEndedRow(JobId, Ended, monotonicNow());
      },
      [this, Now] {
        Owner->finishEndedRows();
        logInfo("ended-jobs-loaded", "service={} epoch={} took_ms={}", Service,
                OwnRow.Epoch, toMillis(monotonicNow() - Now));
      });
  LoaderOfEnded->start();
}

void OwnerLoop::takeTurnIfDue() {
  TimePoint BeganAt = monotonicNow();
  if (!TurnPace.isDue(BeganAt))
    return;
  bool IsPlanDue = PlanPace.isDue(BeganAt);
  processOnce(IsPlanDue ? cell::OwnerTurn::Full
                        : cell::OwnerTurn::WithoutPlanning);
  TimePoint EndedAt = monotonicNow();
  (IsPlanDue ? PlanningTime : TurnTime) += Micros(EndedAt - BeganAt);
  if (IsPlanDue) {
    PlanPace.recordTurn(BeganAt, EndedAt, false);
    TurnPace.restartPause(EndedAt, RenewalsLeft);
  } else {
    TurnPace.recordTurn(BeganAt, EndedAt, RenewalsLeft);
  }
}

void OwnerLoop::processOnce(cell::OwnerTurn Turn) {
  TimePoint Now = monotonicNow();
  AdviceAnswer Answer;
  while (AdviceAnswers->pop(Answer)) {
    bool Failed =
        !Answer.Outcome && Answer.Outcome.error() != Errc::BudgetExhausted;
    if (AdviceQueues.onCallEnded(Answer.RelayAddress, Answer.Id, Failed, Now))
      Owner->onAdvice(Answer.Id, Answer.Outcome, Now);
  }
  for (cell::Offer Offer; Offers->pop(Offer);) {
    if (UnreadableJobs.count(Offer.Job.Id)) {
      Offer.Done(cell::OfferOutcome::StoredBefore);
      continue;
    }
    Offer.TimeLeft -=
        std::chrono::duration_cast<Millis>(Now - Offer.DeliveredAt);
    TimePoint AcceptedAt = acceptedAt(Offer.Job, Now);
    Owner->offer(std::move(Offer), AcceptedAt, Now);
  }
  auto Config = Context.Config.current();
  if (Config->Version != ConfigVersion) {
    ConfigVersion = Config->Version;
    Owner->setConfig(Config);
    Caps->follow(Config);
  }
  if (auto ChangedExecutors = Instances->takeChanges())
    Owner->setExecutors(*ChangedExecutors, Now);
  Owner->confirmInstanceList(Instances->confirmedAt());
  if (Releasing.load())
    Owner->release();
  if (!EntryReadInFlight && Now >= NextEntryRead)
    readEntries();
  constexpr int64_t MicrosPerMilli = 1'000;
  cell::OwnerCommands Commands =
      Owner->advance(Now, wallMicros() / MicrosPerMilli, Turn);
  RenewalsLeft = Commands.RenewalsLeft;
  executeCommands(std::move(Commands));
  sendAdviceCalls(Now);
  if (Now >= NextPublish)
    publishStatus(Now);
}

void OwnerLoop::executeCommands(cell::OwnerCommands Commands) {
  for (cell::StartCommand &Command : Commands.Starts)
    Executors->start(Command.Order,
                     [this, Id = Command.Order.Id,
                      Index = Command.Executor](const auto &Answer) {
                       Owner->onStart(Id, Index, Answer, monotonicNow());
                       recordChange();
                     });
  for (cell::StopCommand &Command : Commands.Stops)
    Executors->stop(Command.Order,
                    [this, Id = Command.Order.Id,
                     Index = Command.Executor](const auto &Answer) {
                      Owner->onStop(Id, Index, Answer, monotonicNow());
                      recordChange();
                    });
  for (cell::PaceCommand &Command : Commands.PaceChanges)
    Executors->pace(Command.Order,
                    [this, Id = Command.Order.Id,
                     Index = Command.Executor](const auto &Answer) {
                      Owner->onPace(Id, Index, Answer, monotonicNow());
                      recordChange();
                    });
  for (cell::RenewalCommand &Command : Commands.Renewals)
    Executors->renewLeases(
        Command.Call, [this, Index = Command.Executor](const auto &Answer) {
          Owner->onRenewal(Index, Answer, monotonicNow());
          // Without news, the next renewal can wait for the timers.
          if (Answer.Outcome != executor::OrderOutcome::Done ||
              !Answer.Ended.empty())
            recordChange();
        });
  for (cell::AdviceCallCommand &Command : Commands.AdviceCalls)
    AdviceQueues.add(std::move(Command));
}

void OwnerLoop::sendAdviceCalls(TimePoint Now) {
  if (Now >= NextAdviceRefresh) {
    NextAdviceRefresh = Now + AdviceRefreshInterval;
    AdviceQueues.refreshCalls(
        [&](uint64_t Id) { return Owner->adviceDueAt(Id, Now); });
    AdviceQueues.addCopies(Now);
  }
  while (auto Assignment = AdviceQueues.assignNext(Now)) {
    uint64_t Id = Assignment->Command.Id;
    std::string RelayAddress = Assignment->Address;
    // Calls may complete after this loop has ended.
    auto Done = [Answers = AdviceAnswers, Id,
                 RelayAddress](Result<executor::Advice> Outcome) {
      AdviceAnswer Answer{.Id = Id,
                          .RelayAddress = RelayAddress,
                          .Outcome = std::move(Outcome)};
      if (!Answers->push(std::move(Answer)))
        logInfo("advice-answer-dropped", "call={}", Id);
    };
    bool Queued =
        RelayAddress.empty()
            ? Advice.enqueue(std::move(Assignment->Command.Call), Done)
            : Relay.AdviceCalls.push(
                  {RelayAddress, std::move(Assignment->Command.Call), Done});
    if (!Queued)
      Done(Errc::BudgetExhausted);
  }
}

void OwnerLoop::sendNextCommit(TimePoint Now) {
  Owner->setStoreReadMs(Context.StoreHealth.readLatencyMs());
  TimePoint StoreAnsweredAt = Context.StoreHealth.lastAnswer();
  if (StoreAnsweredAt > LastStoreAnswer + MinStoreSilence)
    Owner->onStoreBack(Now);
  LastStoreAnswer = StoreAnsweredAt;
  auto Commit = Owner->nextCommit(Now, Context.StoreHealth.clock(Now));
  if (!Commit)
    return;
  uint64_t Sequence = Owner->commitSequence();
  ++CommitsSent;
  CommitEntries += Commit->entryCount();
  for (const store::RowWrite &Write : Commit->Writes)
    CommitBytes += Write.Value.size();
  Store->commit(*Commit,
                [this, Now, Sequence](const store::TransactionResult &Result) {
                  TimePoint AnsweredAt = monotonicNow();
                  if (Result.StoreClockMs)
                    recordStoreAnswer(Result.StoreClockMs);
                  Context.EntryMetrics.observe(
                      "commit_ms", toSeconds(AnsweredAt - Now) * 1e3);
                  Owner->onCommit(Sequence, Result, AnsweredAt);
                  recordChange();
                  // What has changed meanwhile shouldn't wait for a turn.
                  sendNextCommit(AnsweredAt);
                });
}

/// \p MaxWait is how long the store waits for a first change.
void OwnerLoop::followJobs(Millis MaxWait) {
  store::ChangeQuery Query{
      .Table = cell::JobTable, .After = JobFeed.position(), .MaxWait = MaxWait};
  TimePoint SentAt = monotonicNow();
  Store->readChanges(Query, [this, SentAt](const auto &Page) {
    if (Page) {
      TimePoint Now = monotonicNow();
      Context.StoreHealth.recordFeedPage(Now, *Page);
      onJobRows(Page->Rows);
      Owner->confirmJobFeed(Page->AnsweredAt);
      recordChange();
      JobFeed.advance(*Page, SentAt, Now);
      // Most rows come from this owner's own commits; others can wait.
      if (Page->Rows.empty())
        followJobs(FeedWait);
      else
        TimerQueue.schedule(Now + JobFeedInterval,
                            [this] { followJobs(FeedWait); });
      return;
    }
    logInfo("job-feed-lost", "service={} error={}", Service,
            Page.error().message());
    retryLater([this] { reloadJobs(""); });
  });
}

/// Catches up on job rows after the feed was lost; known jobs stay unchanged.
void OwnerLoop::reloadJobs(const std::string &FromKey) {
  store::RangeRead Range{.Table = cell::JobTable,
                         .Partition = Service,
                         .From = FromKey,
                         .Limit = JobPageRows};
  Store->read(Range, [this, FromKey](const Result<store::RowPage> &Page) {
    if (!Page) {
      retryLater([this, FromKey] { reloadJobs(FromKey); });
      return;
    }
    recordStoreAnswer(Page->StoreClockMs);
    if (FromKey.empty())
      JobFeed.restart(Page->Version);
    onJobRows(Page->Rows);
    recordChange();
    if (auto NextKey = store::nextPageStart(*Page))
      reloadJobs(*NextKey);
    else
      followJobs(Millis(0));
  });
}

void OwnerLoop::onJobRows(const std::vector<store::Row> &Rows) {
  TimePoint Now = monotonicNow();
  for (const store::Row &Row : Rows) {
    if (Row.Partition != Service || Row.Deleted)
      continue;
    size_t Separator = Row.Key.find('/');
    if (Separator != std::string::npos) {
      Owner->cancel(Row.Key.substr(0, Separator), Now);
      continue;
    }
    if (UnreadableJobs.count(Row.Key))
      continue;
    auto Job = cell::decodeJob(Row.Value);
    if (!Job) {
      logError("job-unreadable", "job={}", Row.Key);
      continue;
    }
    TimePoint AcceptedAt = acceptedAt(*Job, Now);
    Owner->accept(std::move(*Job), AcceptedAt, Now);
  }
}

/// Reads the other entries' relay addresses, each of which leads to that
/// entry's advice queue, and what the entries can carry.
void OwnerLoop::readEntries() {
  EntryReadInFlight = true;
  Store->read(
      {.Table = cell::MemberTable}, [this](const Result<store::RowPage> &Page) {
        EntryReadInFlight = false;
        NextEntryRead = monotonicNow() + EntryReadInterval;
        if (!Page)
          return;
        recordStoreAnswer(Page->StoreClockMs);
        std::vector<cell::AdviceQueueInfo> KnownRelays = {
            {.Entry = Context.Options.Name}};
        for (const store::Row &Row : Page->Rows) {
          if (Row.Key != Context.Options.Name)
            KnownRelays.push_back({.Entry = Row.Key, .Address = Row.Value});
        }
        AdviceQueues.setQueues(KnownRelays);
      });
  Store->read({.Table = cell::CapacityTable},
              [this](const Result<store::RowPage> &Page) {
                if (!Page)
                  return;
                Owner->setLargestEntry(largestEntryIn(*Page));
                Owner->setMovesEndedJobs(allKnowEndedJobs(*Page));
                Owner->setStoresQueueOfEnded(allKnowQueueOfEnded(*Page));
                Owner->setQueuesAgain(allKnowQueuedRuns(*Page));
              });
}

/// Logs what the advice calls since the last line were for and how long they
/// waited here for a queue.
void OwnerLoop::logAdviceCalls() {
  cell::AdviceCallCounts Calls = AdviceQueues.takeCallCounts();
  auto Sent = [&](cell::AdviceReason Reason) { return Calls.of(Reason).Sent; };
  auto WaitMs = [&](cell::AdviceReason Reason) {
    return Calls.of(Reason).meanWaitMs();
  };
  using cell::AdviceReason;
  logInfo("advice-state",
          "service={} queues={} busy={} first={} first_wait_ms={:.0f} "
          "further={} further_wait_ms={:.0f} renewals={} "
          "renewal_wait_ms={:.0f} work_ms={:.0f}",
          Service, AdviceQueues.queueCount(), AdviceQueues.busyCount(),
          Sent(AdviceReason::First), WaitMs(AdviceReason::First),
          Sent(AdviceReason::Further), WaitMs(AdviceReason::Further),
          Sent(AdviceReason::Renewal), WaitMs(AdviceReason::Renewal),
          Calls.WorkMs);
}

void OwnerLoop::publishStatus(TimePoint Now) {
  NextPublish = Now + PublishInterval;
  cell::OwnerStatus State = Owner->status(Now);
  logInfo(
      "service-state",
      "service={} loading={} live={} offered={} pending={} jobs_read_ms_ago={} "
      "waiting={} unadvised={} advice_queue={} open={} "
      "executors={} usable={} commit_ms={:.0f} commits={} commit_entries={} "
      "commit_bytes={} planning_ms={} turns_ms={} cores={} reserved={} "
      "placed={} placed_cores={}",
      Service, State.Loading, State.LiveJobs, State.OfferedJobs,
      State.PendingJobs, State.Loading ? -1 : State.JobReadingAge.count(),
      State.WaitingSteps, State.StepsWithoutAdvice, AdviceQueues.waitingCount(),
      State.OpenRuns, State.Executors, State.Usable, State.CommitMs,
      CommitsSent, CommitEntries, CommitBytes, toMillis(PlanningTime),
      toMillis(TurnTime), State.TotalCores, State.ReservedCores,
      State.PlacedTasks, State.PlacedCores);
  CommitsSent = 0;
  CommitEntries = 0;
  CommitBytes = 0;
  PlanningTime = {};
  TurnTime = {};
  logAdviceCalls();
  for (const cell::WaitingStepReport &Step :
       Owner->longestWaitingSteps(MaxReportedSteps, ReportedWait, Now))
    logInfo("step-waits",
            "job={} step={} tasks={} millicores={} accelerators={} gang={} "
            "colocate={} age_ms={} slack_ms={:.0f} suitable={} allowed={} "
            "usable={} with_room={}",
            Step.Job, Step.Step, Step.Tasks, Step.Size.MilliCores,
            Step.Size.Accelerators, Step.Gang, Step.Colocate, Step.Age.count(),
            Step.SlackMs, Step.Suitable, Step.Allowed, Step.Usable,
            Step.WithFreeCapacity);
  ServiceStatus Status{.Epoch = OwnRow.Epoch, .TakenAt = Now, .State = State};
  Owner->forEachJob([&](const cell::LiveJob &Job) {
    Status.Jobs.push_back({.Id = Job.Spec.Id,
                           .Queue = Job.Spec.Queue,
                           .Phase = std::string(cell::phaseName(Job.Phase)),
                           .OpenRuns = Job.OpenRuns,
                           .AgeMs = toMillis(Now - Job.AcceptedAt)});
  });
  Status.Gauges = Gauges.make({.Counts = Owner->counts(),
                               .State = State,
                               .FeedSkipped = Instances->skippedChanges(),
                               .AdviceWaiting = AdviceQueues.waitingCount()});
  Context.OwnedServices.set(Service, std::move(Status));
}

} // namespace daisylanding::node
