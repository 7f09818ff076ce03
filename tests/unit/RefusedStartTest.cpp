#include "unit/CellSim.h"

#include <fmt/format.h>

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
