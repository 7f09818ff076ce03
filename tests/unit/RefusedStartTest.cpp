#include "unit/CellSim.h"

#include <fmt/format.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources ExecutorSize{.MilliCores = 4'000, .MemoryMb = 8'000};
constexpr Resources TaskSize{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Millis TicketValidity{2'000};

} // namespace

// clang-format off
/// Starts that an executor would refuse, since their tickets have expired.
TEST_GROUP(AnOwnerWhoseStartsNeedTickets) {
  Simulation Sim;
  uint64_t Submitted = 0;

  void setup() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 20, .PerExecutorMs = 1, .Validity = TicketValidity},
                       .AllowedShare = 1,
                       .Entries = 8});
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }

  void takeOverWith(size_t Executors) {
    for (size_t I = 0; I < Executors; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
    Sim.runFor(500);
  }
  std::string submit(int64_t RunMs) {
    std::string Id = fmt::format("{:016x}", ++Submitted);
    Sim.submit(Simulation::makeJob(Id, 1, TaskSize, RunMs));
    return Id;
  }
};
// clang-format on

// clang-format off
TEST_GROUP_BASE(WhoseCommitsTakeLong,
                TEST_GROUP_CppUTestGroupAnOwnerWhoseStartsNeedTickets) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerWhoseStartsNeedTickets::setup();
    takeOverWith(8);
    Sim.CommitTimeMs = 300;
  }

  /// More than the executors can run, so that tickets get old while their tasks
  /// wait for a place.
  void overload(int64_t Ms) {
    constexpr int64_t IntervalMs = 25;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += IntervalMs) {
      submit(300 + static_cast<int64_t>(Submitted % 7) * 100);
      Sim.runFor(IntervalMs);
    }
  }
};
// clang-format on

/// A start whose ticket ends before it can arrive is not recorded.
TEST(WhoseCommitsTakeLong, SendsNoStartThatIsRefusedForItsTicket) {
  overload(3'000);
  uint64_t RefusalsBefore = Sim.Owner->counts().TicketRefusals;
  uint64_t DoneBefore = Sim.Owner->counts().EndsDone;
  overload(10'000);
  CHECK_EQUAL(0, Sim.Owner->counts().TicketRefusals - RefusalsBefore);
  CHECK(Sim.Owner->counts().EndsDone - DoneBefore > 100);
}

// clang-format off
TEST_GROUP_BASE(ThatMayNotSendForAWhile,
                TEST_GROUP_CppUTestGroupAnOwnerWhoseStartsNeedTickets) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerWhoseStartsNeedTickets::setup();
    takeOverWith(1);
  }

  /// Records the start of a job, which may be sent only once its ticket has
  /// expired.
  std::string recordStart() {
    Sim.CommitTimeMs = 1'200;
    Sim.FeedsSilent = true;
    std::string Job = submit(100);
    Sim.runFor(TicketValidity.count() + 500);
    Sim.CommitTimeMs = 10;
    Sim.FeedsSilent = false;
    return Job;
  }
};
// clang-format on

/// A recorded start is not sent with a ticket that has expired.
TEST(ThatMayNotSendForAWhile, GetsANewTicketInPlaceOfARefusal) {
  std::string Job = recordStart();
  CHECK_EQUAL(0, Sim.Owner->counts().Starts);
  Sim.runFor(3'000);
  CHECK_EQUAL(0, Sim.Owner->counts().TicketRefusals);
  CHECK_EQUAL(1, Sim.Owner->counts().Starts);
  CHECK(Sim.storedPhase(Job) == JobPhase::Completed);
}

/// The run that was not sent is not taken for one that has begun.
TEST(ThatMayNotSendForAWhile, StartsTheTaskOnceAsALaterRun) {
  std::string Job = recordStart();
  Sim.runFor(3'000);
  CHECK_EQUAL(1, Sim.Started.size());
  CHECK_EQUAL(2, Sim.Started.front().Id.Run);
}

// clang-format off
/// Two tasks of a step that start one after the other on the same executor. The
/// first start is refused for its ticket.
TEST_GROUP_BASE(WhoseFirstStartIsRefused,
                TEST_GROUP_CppUTestGroupAnOwnerWhoseStartsNeedTickets) {
  static constexpr Resources TwoPlaces{.MilliCores = 2'000, .MemoryMb = 8'000};
  std::string Step;

  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerWhoseStartsNeedTickets::setup();
    Sim.addExecutor(TwoPlaces);
    Sim.takeOver();
    Sim.runFor(500);
  }

  /// A task of another job keeps the second place for so long.
  void submitBoth(int64_t OtherRunMs, int64_t RefusalDelayMs) {
    submit(OtherRunMs);
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 1; }, 1'000));
    std::string Id = fmt::format("{:016x}", ++Submitted);
    Step = Id + ".0.0";
    auto IsFirst = [this](const executor::StartOrder &Order) {
      return Order.Id.Task == Step + ".0" && Order.Id.Run == 1;
    };
    Sim.RefusalFor = [IsFirst](const executor::StartOrder &Order) {
      return IsFirst(Order) ? std::optional(executor::OrderOutcome::TicketInvalid) : std::nullopt;
    };
    Sim.StartAnswerDelayFor = [IsFirst, RefusalDelayMs](const executor::StartOrder &Order) {
      return IsFirst(Order) ? RefusalDelayMs : 0;
    };
    Sim.submit(Simulation::makeJob(Id, 2, TaskSize, 300));
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().Starts == 2; }, 1'000));
  }
  void awaitRefusal() {
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().TicketRefusals == 1; }, 4'000));
  }
  const executor::StartOrder &awaitStart(const std::string &Task) {
    CHECK(Sim.runUntil([&] { return Sim.runsOf(Task) > 0; }, 3'000));
    return *std::find_if(Sim.Started.begin(), Sim.Started.end(),
                         [&](const auto &Order) { return Order.Id.Task == Task; });
  }
  /// When the ticket was granted, which is its text here.
  static int64_t grantedMs(const executor::StartOrder &Order) { return std::stoll(Order.Ticket); }
  int64_t nowMs() const { return toMillis(Sim.Now.time_since_epoch()); }
};
// clang-format on

/// Guards against a ticket that is voided by the refusal of a start that was
/// sent before it was granted.
TEST(WhoseFirstStartIsRefused, KeepsATicketThatCameSince) {
  submitBoth(1'900, 2'050);
  Sim.CommitTimeMs = 300;
  awaitRefusal();
  int64_t RefusedMs = nowMs();
  const executor::StartOrder &Second = awaitStart(Step + ".1");
  CHECK(grantedMs(Second) < RefusedMs);
  LONGS_EQUAL(1, Second.Id.Run);
}

/// The ticket that was refused is not sent again.
TEST(WhoseFirstStartIsRefused, GetsANewTicketForTheNext) {
  submitBoth(100, 0);
  awaitRefusal();
  int64_t RefusedMs = nowMs();
  CHECK(grantedMs(awaitStart(Step + ".0")) >= RefusedMs);
}
