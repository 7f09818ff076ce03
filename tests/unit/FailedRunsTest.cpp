#include "cell/FailedRuns.h"

#include <CppUTest/TestHarness.h>

using daisylanding::cell::FailedRuns;

// clang-format off
TEST_GROUP(FailedRunsOfATask) {
  FailedRuns Runs;
};

TEST_GROUP_BASE(OneOfWhichIsStored, TEST_GROUP_CppUTestGroupFailedRunsOfATask) {
  void setup() override { Runs.restore(1); }
};
// clang-format on

/// Guards against a gang that counts a failure for each of its members.
TEST(FailedRunsOfATask, CountOnceEach) {
  CHECK(Runs.add(1, false));
  CHECK_FALSE(Runs.add(1, false));
  CHECK(Runs.add(2, false));
}

/// An end that is heard late comes after those of later runs.
TEST(FailedRunsOfATask, CountInAnyOrder) {
  CHECK(Runs.add(3, false));
  CHECK(Runs.add(1, false));
}

/// Guards against a failure that is counted again as its end is listed again.
TEST(OneOfWhichIsStored, DoNotCountIfTheyMayBeTheOne) {
  CHECK_FALSE(Runs.add(1, true));
  CHECK_FALSE(Runs.add(1, true));
}

/// No more than one of them can be the one that is stored.
TEST(OneOfWhichIsStored, CountOnceMoreAreKnown) {
  CHECK_FALSE(Runs.add(1, true));
  CHECK(Runs.add(2, true));
}

/// A run that this owner has seen end was counted by no other.
TEST(OneOfWhichIsStored, CountIfTheyEndedLater) {
  CHECK(Runs.add(2, false));
  CHECK_FALSE(Runs.add(1, true));
}
