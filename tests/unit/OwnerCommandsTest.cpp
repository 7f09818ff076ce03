#include "cell/CellOwner.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr Millis TailLatencyTarget{100};
constexpr const char *ServingJob = "00000000000000a1";
constexpr const char *BestEffortJob = "00000000000000b2";

/// Executors report usage over this time.
constexpr Millis UsageWindow{500};
/// From a changed pace to its effect.
constexpr Millis PaceDelay{100};
constexpr Millis Transit{3};
constexpr Millis Turn{5};

JobSpec makeJob(const std::string &Id, const StepSpec &Step) {
  return {.Id = Id, .Queue = "q", .Payload = "work", .Steps = {Step}};
}

std::shared_ptr<const CellConfig> makeConfig() {
  auto Config = std::make_shared<CellConfig>();
  Config->Version = 1;
  Config->Services = {"s"};
  Config->Queues.push_back({.Name = "q", .Service = "s"});
  return Config;
}

/// An owner and one executor in virtual time. The executor runs a task that
/// serves users and a best-effort task, which from some time on keeps the tail
/// latency over its target at any pace above 0. Renewals wait at the executor
/// for as long as they may.
class SharedExecutor {
public:
  SharedExecutor() {
    executor::ExecutorInfo Info{
        .Id = "i-1",
        .Service = "s",
        .Address = "a:1",
        .AvailabilityZone = "z",
        .Capacity = {.MilliCores = 4'000, .MemoryMb = 4'000}};
    Owner.setExecutors(std::span(&Info, 1), Now);
    Owner.accept(makeJob(ServingJob, {.Size = {.MilliCores = 1'000},
                                      .TailLatencyTarget = TailLatencyTarget,
                                      .LongRunning = true}),
                 Now, Now);
    Owner.accept(makeJob(BestEffortJob, {.Size = {.MilliCores = 1'000},
                                         .Estimate = Millis(60'000),
                                         .BestEffort = true}),
                 Now, Now);
  }

  bool startsBothTasks() {
    TimePoint Limit = Now + Millis(2'000);
    while (Running.size() < 2 && Now < Limit)
      advance();
    return Running.size() == 2;
  }

  void runFor(Millis Duration) {
    TimePoint End = Now + Duration;
    while (Now < End)
      advance();
  }

  /// Lets the executor run a task that the owner doesn't know.
  void addUnknownRun(const executor::RunId &Id) { Running.push_back(Id); }

  bool wasToldToStop(const executor::RunId &Id) const {
    return std::any_of(
        Stops.begin(), Stops.end(), [&](const executor::StopOrder &Order) {
          return Order.Id.Task == Id.Task && Order.Id.Run == Id.Run;
        });
  }

  /// Begins the harm; returns how long it lasts, at most \p Limit.
  Millis harm(Millis Limit) {
    HarmBegins = Now;
    TimePoint End = Now + Limit;
    while (!PausedAt && Now < End)
      advance();
    return std::chrono::duration_cast<Millis>(PausedAt.value_or(End) -
                                              *HarmBegins);
  }

private:
  int64_t clockMs() const { return toMillis(Now.time_since_epoch()); }

  /// Half of the target until harm has lasted for the whole usage window.
  double tailLatencyMs() const {
    bool IsHarmed = Pace > 0 && HarmBegins && Now - *HarmBegins >= UsageWindow;
    auto TargetMs = static_cast<double>(TailLatencyTarget.count());
    return IsHarmed ? 2 * TargetMs : TargetMs / 2;
  }

  void answerRenewal() {
    executor::RenewalAnswer Answer{.Outcome = executor::OrderOutcome::Done,
                                   .ClockMs = clockMs()};
    for (const executor::RunId &Run : Running) {
      bool Serves = Run.Task.starts_with(ServingJob);
      Answer.Running.push_back({.Id = Run,
                                .Percent = 100,
                                .Usage = Serves ? tailLatencyMs() : 1'000});
    }
    RenewalAnswerAt.reset();
    Owner.onRenewal(0, Answer, Now);
  }

  void execute(const OwnerCommands &Commands) {
    executor::OrderAnswer Done{.Outcome = executor::OrderOutcome::Done,
                               .ClockMs = clockMs()};
    for (const StartCommand &Command : Commands.Starts) {
      Running.push_back(Command.Order.Id);
      Owner.onStart(Command.Order.Id, Command.Executor, Done, Now);
    }
    for (const StopCommand &Command : Commands.Stops)
      Stops.push_back(Command.Order);
    for (const PaceCommand &Command : Commands.PaceChanges) {
      Pace = Command.Order.Percent;
      if (Pace == 0 && !PausedAt)
        PausedAt = Now + Transit + PaceDelay;
      Owner.onPace(Command.Order.Id, Command.Executor, Done, Now);
    }
    for (const RenewalCommand &Command : Commands.Renewals)
      RenewalAnswerAt = Now + Command.Call.MaxWait + 2 * Transit;
  }

  void advance() {
    Now += Turn;
    if (RenewalAnswerAt && Now >= *RenewalAnswerAt)
      answerRenewal();
    Owner.confirmInstanceList(Now);
    Owner.confirmJobFeed(Now);
    execute(Owner.advance(Now, 0));
    if (Owner.nextCommit(Now, {.MinMs = clockMs(), .MaxMs = clockMs()}))
      Owner.onCommit(Owner.commitSequence(),
                     {.Outcome = store::TransactionOutcome::Committed,
                      .Version = ++RowVersion,
                      .StoreClockMs = clockMs()},
                     Now);
  }

  TimePoint Now{std::chrono::hours(1)};
  uint64_t RowVersion = 1;
  CellOwner Owner{
      {.Service = "s",
       .AcquiredRow = {.Holder = "e/1", .Epoch = 1, .LeasesEndMs = 0},
       .RowVersion = RowVersion,
       .CreatedAt = Now},
      makeConfig()};
  std::vector<executor::RunId> Running;
  std::vector<executor::StopOrder> Stops;
  std::optional<TimePoint> RenewalAnswerAt;
  std::optional<TimePoint> HarmBegins;
  std::optional<TimePoint> PausedAt;
  uint32_t Pace = 100;
};

} // namespace

TEST_GROUP(AnExecutorWhoseUsersAreHarmed){};

/// Guards against users that are harmed for seconds although the best-effort
/// task beside them is to be slowed: each step waits for a renewal's answer,
/// and the first answer may show little of the harm.
TEST(AnExecutorWhoseUsersAreHarmed, IsRelievedWithinFourSeconds) {
  constexpr Millis MaxHarm{4'000};
  constexpr Millis PhaseStep{50};
  for (Millis Phase{0}; Phase < Millis(800); Phase += PhaseStep) {
    SharedExecutor Shared;
    CHECK(Shared.startsBothTasks());
    Shared.runFor(Millis(2'000) + Phase);
    CHECK(Shared.harm(2 * MaxHarm) < MaxHarm);
  }
}

TEST_GROUP(AnExecutorThatRunsAnUnknownTask){};

/// Guards against runs that nobody asked for and that go on for good, since
/// each renewal extends the leases of all runs there.
TEST(AnExecutorThatRunsAnUnknownTask, IsToldToStopIt) {
  const executor::RunId Unknown{.Task = "00000000000000c3.0.0.0", .Run = 1};
  SharedExecutor Shared;
  CHECK(Shared.startsBothTasks());
  Shared.addUnknownRun(Unknown);
  Shared.runFor(Millis(2'000));
  CHECK_TRUE(Shared.wasToldToStop(Unknown));
}
