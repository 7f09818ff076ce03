#include "cell/UrgentRoom.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr Resources UrgentSize{.MilliCores = 4'000, .MemoryMb = 1'000};
constexpr double UrgentMs = 500;
constexpr double PatientMs = 5'000;

} // namespace

// clang-format off
TEST_GROUP(RoomForAnUrgentStep) {
  RoomForUrgentSteps Room;

  /// A fleet of a hundred places.
  void begin(uint64_t FreePlaces) {
    Room.begin(UrgentSize);
    Room.addExecutor(FreePlaces, 100);
  }
};
// clang-format on

TEST(RoomForAnUrgentStep, IsNotUsedByAStepThatCanWait) {
  begin(5);
  Room.addNeed(UrgentMs, 5, UrgentSize);
  CHECK_FALSE(Room.mayUse(PatientMs));
}

TEST(RoomForAnUrgentStep, IsUsedByOneThatIsNearlyAsUrgent) {
  begin(5);
  Room.addNeed(UrgentMs, 5, UrgentSize);
  CHECK(Room.mayUse(2 * UrgentMs));
}

TEST(RoomForAnUrgentStep, IsNoMoreThanItNeeds) {
  begin(6);
  Room.addNeed(UrgentMs, 5, UrgentSize);
  CHECK(Room.mayUse(PatientMs));
  Room.take(1);
  CHECK_FALSE(Room.mayUse(PatientMs));
}

TEST(RoomForAnUrgentStep, IsCountedByTheSizeOfItsTasks) {
  begin(3);
  Room.addNeed(UrgentMs, 8, {.MilliCores = 1'000, .MemoryMb = 1'000});
  CHECK(Room.mayUse(PatientMs));
}

/// Guards against a fleet that stands idle while the policy service can't keep
/// up with the calls of the steps for which room is kept.
TEST(RoomForAnUrgentStep, IsATenthOfTheFleetAtMost) {
  begin(11);
  Room.addNeed(UrgentMs, 1'000, UrgentSize);
  CHECK(Room.mayUse(PatientMs));
  Room.take(1);
  CHECK_FALSE(Room.mayUse(PatientMs));
}
