#include "node/CellLoop.h"

#include "common/Log.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace daisylanding::node {

namespace {

/// The longest time between two looks at what is due.
constexpr Millis LongestPoll{20};
/// Changes of jobs are heard in groups.
constexpr Millis JobFeedGap{100};
/// How long a feed waits for a first change: bounds how old a belief gets
/// when a feed hears nothing.
constexpr Millis FeedWait{800};
/// A feed may hear nothing for so long while changes are made.
constexpr Millis FeedSilence{1'000};
/// From a decision to its order's arrival.
constexpr Millis OrderWay{200};
constexpr Millis ReadRetry{100};
constexpr Millis MembersInterval{3'000};
constexpr Millis PublishInterval{1'000};
/// Steps that have waited this long are told of, some of them.
constexpr Millis WaitTold{3'000};
constexpr size_t MostWaitsTold = 3;
constexpr size_t AnswerCapacity = 512;
/// Jobs that wait to be looked at; more are stored by their entries.
constexpr size_t OfferCapacity = 256;

} // namespace

CellLoop::CellLoop(Shared &Common, AdviceDesk &Desk, relay::RelayLoop &Relay,
                   std::string Service, cell::OwnerRow Mine,
                   uint64_t RowVersion, TimePoint LastRenewal)
    : Common(Common), Desk(Desk), Relay(Relay), Service(std::move(Service)),
      Mine(std::move(Mine)), RowVersion(RowVersion), LastRenewal(LastRenewal),
      Calls({.MaxConnectionsPerHost = 32, .MaxIdleConnections = 600}),
      JobFeed(store::MaxFeedLag),
      Answers(std::make_shared<MpscQueue<AdviceAnswer>>(
          AnswerCapacity, [this] { Calls.wake(); })),
      Offers(std::make_shared<cell::OfferMailbox>(OfferCapacity,
                                                  [this] { Calls.wake(); })) {}

CellLoop::~CellLoop() {
  Answers->close();
  Offers->close();
  Loop.requestStop();
  Calls.wake();
  Loop.join();
}

void CellLoop::start() {
  Loop.start("cell", [this] {
    run();
    Finished.store(true);
  });
}

void CellLoop::release() {
  Releasing.store(true);
  Calls.wake();
}

void CellLoop::run() {
  logInfo("service-taken", "service={} epoch={} holder={}", Service, Mine.Epoch,
          Mine.Holder);
  Common.Events.add("service-taken", Service,
                    fmt::format("epoch={}", Mine.Epoch));
  Store = Common.Around.store(Calls);
  Executors = Common.Around.executors(Calls);
  loadRows(cell::JobTable, "");
  List = std::make_unique<ExecutorList>(
      *Store, Common.Around.documents(), Later,
      [this](int64_t StoreMillis) { sawStore(StoreMillis); });
  List->start();
  while (!Loop.stopping()) {
    Later.runDue(monotonicNow());
    if (Owner) {
      step();
      if (Owner->deposed() || Owner->released())
        break;
    } else if (Loaded) {
      begin();
      continue;
    } else if (Releasing.load()) {
      break;
    }
    Calls.poll(LongestPoll);
  }
  Common.Offers.unregisterOwner(Service, Offers);
  Common.Board.remove(Service);
  Common.Events.add("service-left", Service,
                    fmt::format("epoch={}", Mine.Epoch));
  if (Owner)
    Owner->failOpenOffers();
  // Their entries store them themselves.
  for (cell::Offer Each; Offers->pop(Each);)
    Each.Done(cell::OfferOutcome::NotOwner);
  logInfo("service-left", "service={} epoch={} deposed={}", Service, Mine.Epoch,
          Owner && Owner->deposed());
}

void CellLoop::retry(std::function<void()> Run) {
  Later.schedule(monotonicNow() + ReadRetry, std::move(Run));
}

void CellLoop::sawStore(int64_t StoreMillis) {
  Common.Store.answered(monotonicNow(), StoreMillis);
}

TimePoint CellLoop::acceptedAt(const cell::JobSpec &Job, TimePoint Now) const {
  int64_t Age =
      std::max<int64_t>(0, Common.Store.clockMillis(Now) - Job.AcceptedMs);
  return Now - Millis(Age);
}

/// Reads a whole table of the service, page by page, jobs before progress.
void CellLoop::loadRows(const std::string &Table, const std::string &From) {
  store::RangeRead Range{.Table = Table, .Partition = Service, .From = From};
  Store->read(Range, [this, Table, From](const Result<store::RowPage> &Page) {
    if (!Page) {
      logWarn("load-failed", "service={} table={} error={}", Service, Table,
              Page.error().message());
      retry([this, Table, From] { loadRows(Table, From); });
      return;
    }
    sawStore(Page->StoreClockMs);
    bool Jobs = Table == cell::JobTable;
    if (Jobs && From.empty())
      JobFeed.restart(Page->Version);
    for (const store::Row &Each : Page->Rows) {
      size_t Mark = Each.Key.find('/');
      if (Jobs && Mark != std::string::npos) {
        LoadedCancels.insert(Each.Key.substr(0, Mark));
      } else if (Jobs) {
        if (auto Job = cell::decodeJob(Each.Value))
          LoadedJobs.emplace(Each.Key, std::move(*Job));
        else
          logError("job-unreadable", "job={}", Each.Key);
      } else {
        if (auto Progress = cell::decodeProgress(Each.Value)) {
          LoadedProgress.emplace(Each.Key, std::move(*Progress));
          continue;
        }
        // Begun anew, the job's tasks could run twice. It waits for an owner
        // that can read its record.
        logError("progress-unreadable", "job={} version={}", Each.Key,
                 Each.Version);
        Common.Numbers.count("progress_unreadable");
        Withheld.insert(Each.Key);
      }
    }
    if (auto Next = store::nextPageStart(*Page))
      loadRows(Table, *Next);
    else if (Jobs)
      loadRows(cell::ProgressTable, "");
    else
      Loaded = true;
  });
}

void CellLoop::begin() {
  TimePoint Now = monotonicNow();
  auto Config = Common.Config.current();
  ConfigVersion = Config->Version;
  cell::OwnerOptions Options{.Service = Service,
                             .AcquiredRow = Mine,
                             .RowVersion = RowVersion,
                             .StoreClockMs = Common.Store.clockMillis(Now),
                             .CreatedAt = Now,
                             .StatusRetention = Common.Options.StatusRetention};
  Options.Leases.LeaseDuration =
      std::min(Options.Leases.LeaseDuration, Common.Options.MaxLease);
  Options.MaxInstanceListAge = Common.Options.MaxDrainDelay - OrderWay;
  Options.MaxJobFeedAge =
      Common.Options.MaxCancelDelay - FeedSilence - OrderWay;
  Options.InheritedLeaseEnd =
      cell::inheritedLeaseEnd(Options.Leases, LastRenewal);
  Owner = std::make_unique<cell::CellOwner>(std::move(Options), Config);
  for (auto &[Id, Job] : LoadedJobs) {
    if (Withheld.count(Id))
      continue;
    std::optional<cell::JobProgress> Progress;
    auto Found = LoadedProgress.find(Id);
    if (Found != LoadedProgress.end())
      Progress = std::move(Found->second);
    TimePoint Accepted = acceptedAt(Job, Now);
    Owner->restore(std::move(Job), Progress, LoadedCancels.count(Id) > 0,
                   Accepted, Now);
  }
  logInfo("service-loaded", "service={} epoch={} jobs={} live={}", Service,
          Mine.Epoch, LoadedJobs.size(), Owner->liveJobCount());
  LoadedJobs.clear();
  LoadedProgress.clear();
  LoadedCancels.clear();
  Common.Offers.registerOwner(Service, Offers);
  Owner->confirmJobFeed(Now);
  followJobs();
}

void CellLoop::step() {
  TimePoint Now = monotonicNow();
  AdviceAnswer Each;
  while (Answers->pop(Each)) {
    bool Failed = !Each.Answer && Each.Answer.error() != Errc::BudgetExhausted;
    Lines.onCallEnded(Each.Line, Each.ExpectedMs, Failed, Now);
    Owner->onAdvice(Each.Id, Each.Answer, Now);
  }
  for (cell::Offer Next; Offers->pop(Next);) {
    if (Withheld.count(Next.Job.Id)) {
      Next.Done(cell::OfferOutcome::StoredBefore);
      continue;
    }
    TimePoint Accepted = acceptedAt(Next.Job, Now);
    Owner->offer(std::move(Next), Accepted, Now);
  }
  auto Config = Common.Config.current();
  if (Config->Version != ConfigVersion) {
    ConfigVersion = Config->Version;
    Owner->setConfig(Config);
  }
  if (auto Changed = List->changes())
    Owner->setExecutors(*Changed, Now);
  Owner->confirmInstanceList(List->confirmed());
  if (Releasing.load())
    Owner->release();
  if (!MembersOpen && Now >= NextMembers)
    readMembers();
  constexpr int64_t MicrosPerMilli = 1'000;
  carryOut(Owner->advance(Now, wallMicros() / MicrosPerMilli));
  askLines(Now);
  commitNext(Now);
  if (Now >= NextPublish)
    publish(Now);
}

void CellLoop::carryOut(cell::OwnerCommands Out) {
  for (cell::StartCommand &Each : Out.Starts)
    Executors->start(Each.Order, [this, What = Each.Order.Id,
                                  On = Each.Executor](const auto &Answer) {
      Owner->onStart(What, On, Answer, monotonicNow());
    });
  for (cell::StopCommand &Each : Out.Stops)
    Executors->stop(Each.Order, [this, What = Each.Order.Id,
                                 On = Each.Executor](const auto &Answer) {
      Owner->onStop(What, On, Answer, monotonicNow());
    });
  for (cell::PaceCommand &Each : Out.PaceChanges)
    Executors->pace(Each.Order, [this, What = Each.Order.Id,
                                 On = Each.Executor](const auto &Answer) {
      Owner->onPace(What, On, Answer, monotonicNow());
    });
  for (cell::RenewalCommand &Each : Out.Renewals)
    Executors->renewLeases(Each.Call,
                           [this, On = Each.Executor](const auto &Answer) {
                             Owner->onRenewal(On, Answer, monotonicNow());
                           });
  for (cell::AdviceCallCommand &Each : Out.AdviceCalls)
    Lines.add(std::move(Each));
}

void CellLoop::askLines(TimePoint Now) {
  while (auto Next = Lines.assignNext(Now)) {
    uint64_t Id = Next->Command.Id;
    double ExpectedMs = Next->Command.ExpectedMs;
    std::string Line = Next->Address;
    // Calls may end after this loop has left the service.
    auto Done = [Box = Answers, Id, Line,
                 ExpectedMs](Result<executor::Advice> Answer) {
      AdviceAnswer Item{.Id = Id,
                        .Line = Line,
                        .ExpectedMs = ExpectedMs,
                        .Answer = std::move(Answer)};
      if (!Box->push(std::move(Item)))
        logInfo("advice-answer-dropped", "call={}", Id);
    };
    bool Queued =
        Line.empty()
            ? Desk.ask(std::move(Next->Command.Call), Done)
            : Relay.Calls.push({Line, std::move(Next->Command.Call), Done});
    if (!Queued)
      Done(Errc::BudgetExhausted);
  }
}

void CellLoop::commitNext(TimePoint Now) {
  Owner->setStoreReadMs(Common.Store.readMillis());
  auto Next = Owner->nextCommit(Now, Common.Store.clockMillis(Now));
  if (!Next)
    return;
  uint64_t Sequence = Owner->commitSequence();
  Store->commit(
      *Next, [this, Now, Sequence](const store::TransactionResult &Result) {
        TimePoint Then = monotonicNow();
        if (Result.StoreClockMs)
          sawStore(Result.StoreClockMs);
        Common.Numbers.observe("commit_ms", toSeconds(Then - Now) * 1e3);
        Owner->onCommit(Sequence, Result, Then);
      });
}

void CellLoop::followJobs() {
  store::ChangeQuery Query{.Table = cell::JobTable,
                           .After = JobFeed.position(),
                           .MaxWait = FeedWait};
  Store->readChanges(Query, [this](const Result<store::ChangePage> &Page) {
    if (Page) {
      sawStore(Page->StoreClockMs);
      onJobRows(Page->Rows);
      TimePoint Now = monotonicNow();
      Owner->confirmJobFeed(Now);
      JobFeed.advance(*Page, Now);
      // Most rows are of this owner's own commits; others can wait a little.
      if (Page->Rows.empty())
        followJobs();
      else
        Later.schedule(Now + JobFeedGap, [this] { followJobs(); });
      return;
    }
    logInfo("job-feed-lost", "service={} error={}", Service,
            Page.error().message());
    retry([this] { reloadJobs(""); });
  });
}

/// What was missed while the feed was away; known jobs are left as they are.
void CellLoop::reloadJobs(const std::string &From) {
  store::RangeRead Range{
      .Table = cell::JobTable, .Partition = Service, .From = From};
  Store->read(Range, [this, From](const Result<store::RowPage> &Page) {
    if (!Page) {
      retry([this, From] { reloadJobs(From); });
      return;
    }
    sawStore(Page->StoreClockMs);
    if (From.empty())
      JobFeed.restart(Page->Version);
    onJobRows(Page->Rows);
    if (auto Next = store::nextPageStart(*Page))
      reloadJobs(*Next);
    else
      followJobs();
  });
}

void CellLoop::onJobRows(const std::vector<store::Row> &Rows) {
  TimePoint Now = monotonicNow();
  for (const store::Row &Each : Rows) {
    if (Each.Partition != Service || Each.Deleted)
      continue;
    size_t Mark = Each.Key.find('/');
    if (Mark != std::string::npos) {
      Owner->cancel(Each.Key.substr(0, Mark), Now);
      continue;
    }
    if (Withheld.count(Each.Key))
      continue;
    auto Job = cell::decodeJob(Each.Value);
    if (!Job) {
      logError("job-unreadable", "job={}", Each.Key);
      continue;
    }
    TimePoint Accepted = acceptedAt(*Job, Now);
    Owner->accept(std::move(*Job), Accepted, Now);
  }
}

/// The other entries' relays: their lines to the policy service.
void CellLoop::readMembers() {
  MembersOpen = true;
  Store->read(
      {.Table = cell::MemberTable}, [this](const Result<store::RowPage> &Page) {
        MembersOpen = false;
        NextMembers = monotonicNow() + MembersInterval;
        if (!Page)
          return;
        sawStore(Page->StoreClockMs);
        std::vector<cell::AdviceQueueInfo> Present = {
            {.Entry = Common.Options.Name}};
        for (const store::Row &Each : Page->Rows) {
          if (Each.Key != Common.Options.Name)
            Present.push_back({.Entry = Each.Key, .Address = Each.Value});
        }
        Lines.setQueues(Present);
      });
}

void CellLoop::publish(TimePoint Now) {
  NextPublish = Now + PublishInterval;
  const cell::OwnerCounts &Counts = Owner->counts();
  cell::OwnerStatus State = Owner->status(Now);
  logInfo("service-state",
          "service={} live={} waiting={} unadvised={} advice_queue={} open={} "
          "executors={} usable={} commit_ms={:.0f}",
          Service, State.LiveJobs, State.WaitingSteps, State.StepsWithoutAdvice,
          Lines.waitingCount(), State.OpenRuns, State.Executors, State.Usable,
          State.CommitMs);
  for (const cell::WaitingStepReport &Each :
       Owner->longestWaitingSteps(MostWaitsTold, WaitTold, Now))
    logInfo("step-waits",
            "job={} step={} tasks={} millicores={} accelerators={} gang={} "
            "colocate={} age_ms={} slack_ms={:.0f} suitable={} allowed={} "
            "usable={} with_room={}",
            Each.Job, Each.Step, Each.Tasks, Each.Size.MilliCores,
            Each.Size.Accelerators, Each.Gang, Each.Colocate, Each.Age.count(),
            Each.SlackMs, Each.Suitable, Each.Allowed, Each.Usable,
            Each.WithFreeCapacity);
  OwnedService Told{.Epoch = Mine.Epoch, .State = State};
  Owner->forEachJob([&](const cell::LiveJob &Job) {
    Told.Jobs.push_back({.Id = Job.Spec.Id,
                         .Queue = Job.Spec.Queue,
                         .Phase = std::string(cell::phaseName(Job.Phase)),
                         .OpenRuns = Job.OpenRuns,
                         .AgeMs = toMillis(Now - Job.AcceptedAt)});
  });
  Common.Board.set(Service, std::move(Told));
  auto Gauge = [&](const char *Name, uint64_t Value) {
    Common.Numbers.gauge(fmt::format("{}{{service=\"{}\"}}", Name, Service),
                         static_cast<double>(Value));
  };
  Gauge("starts", Counts.Starts);
  Gauge("ends_done", Counts.EndsDone);
  Gauge("ends_failed", Counts.EndsFailed);
  Gauge("ends_other", Counts.EndsOther);
  Gauge("ticket_refusals", Counts.TicketRefusals);
  Gauge("room_refusals", Counts.CapacityRefusals);
  Gauge("lapses", Counts.ExpiredRuns);
  Gauge("stragglers", Counts.Stragglers);
  Gauge("jobs_completed", Counts.JobsCompleted);
  Gauge("jobs_failed", Counts.JobsFailed);
  Gauge("jobs_cancelled", Counts.JobsCancelled);
  Gauge("live_jobs", Owner->liveJobCount());
  Gauge("feed_skipped", List->skipped());
  Gauge("advice_waiting", Lines.waitingCount());
}

} // namespace daisylanding::node
