#include "cell/ProgressRows.h"
#include "common/Random.h"
#include "platform/PlatformPorts.h"

#include <fmt/format.h>

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

/// The stored form of progress in one row and in several.
using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr const char *JobId = "00000000000000c1";
constexpr size_t MaxCheckpointBytes = 256;
constexpr size_t MaxKeyBytes = 200;
constexpr size_t LongAddressBytes = 260;

JobSpec jobOf(uint32_t Steps, uint32_t Width) {
  JobSpec Job;
  Job.Id = JobId;
  for (uint32_t I = 0; I < Steps; ++I)
    Job.Steps.push_back({.Count = Width});
  return Job;
}

/// The largest that a task can be.
TaskProgress largestTask(uint32_t Number) {
  return {.Phase = TaskPhase::Starting,
          .Run = 4'000'000'000,
          .Failures = 4'000'000'000,
          .Crashes = 4'000'000'000,
          .Executor = fmt::format("{:x>{}}", Number, MaxKeyBytes),
          .Address = fmt::format("{:x>{}}", Number, LongAddressBytes),
          .Born = 9'000'000'000'000'000 + Number,
          .Checkpoint = fmt::format("{:c>{}}", Number, MaxCheckpointBytes)};
}

TaskProgress randomTask(Random &Rng) {
  TaskProgress Task{.Run = static_cast<uint32_t>(1 + Rng.below(3)),
                    .Failures = static_cast<uint32_t>(Rng.below(2)),
                    .Checkpoint = std::string(Rng.below(200), 'c')};
  if (Rng.below(2) == 0) {
    Task.Phase = TaskPhase::Done;
    return Task;
  }
  Task.Phase = TaskPhase::Starting;
  Task.Executor = fmt::format("i-{}", Rng.below(9));
  Task.Address = "10.0.0.1:80";
  return Task;
}

/// All rows of the progress, each occurrence in rows of its own.
std::vector<store::Row> splitRows(const JobSpec &Job, JobProgress Progress) {
  std::map<std::string, JobProgress> Rows;
  for (const auto &[Position, Task] : Progress.Tasks)
    Rows[progressRowKey(Job.Id, progressRowOf(Job, Position))].Tasks.emplace(
        Position, Task);
  Progress.Tasks.clear();
  Progress.IsSplit = true;
  std::vector<store::Row> Stored = {
      {.Key = Job.Id, .Value = encodeProgress(Progress)}};
  for (const auto &[Key, Row] : Rows)
    Stored.push_back({.Key = Key, .Value = encodeProgress(Row)});
  return Stored;
}

} // namespace

// clang-format off
TEST_GROUP(ProgressInSeveralRows) {
  ProgressReader Reader;

  JobProgress read(const std::vector<store::Row> &Rows) {
    for (const store::Row &Row : Rows)
      CHECK_TRUE(Reader.add(Row));
    LONGS_EQUAL(0, Reader.unreadableJobs().size());
    return Reader.take().at(JobId);
  }
};

TEST_GROUP(OccurrencesThatAreDone) {};

TEST_GROUP(AJobThatIsHandedIn) {
  node::FieldError Error;
};
// clang-format on

TEST(ProgressInSeveralRows, ARowHoldsItsTasksAtTheirLargest) {
  JobSpec Job = jobOf(1, TasksPerProgressRow);
  JobProgress Progress;
  for (uint32_t I = 0; I < TasksPerProgressRow; ++I)
    Progress.Tasks[{MaxOpenTasks, MaxSteps, I}] = largestTask(I);
  CHECK(encodeProgress(Progress).size() <= store::MaxRowBytes);
}

TEST(ProgressInSeveralRows, TheFirstRowHoldsAsManyRangesAsThereCanBe) {
  JobProgress Progress{.Phase = JobPhase::Cancelled, .IsSplit = true};
  uint32_t Last = 100'000;
  for (uint32_t I = 0; I <= MaxOpenOccurrences; ++I)
    Progress.DoneOccurrences.insertRange(Last - 5 * I - 3, Last - 5 * I);
  CHECK(encodeProgressHead(Progress).size() + MaxSharedRowBytes <=
        store::MaxRowBytes);
}

TEST(ProgressInSeveralRows, RandomProgressRoundTrips) {
  constexpr uint64_t Seeds = 40;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Random Rng(Seed);
    auto Width = static_cast<uint32_t>(1 + Rng.below(200));
    JobSpec Job = jobOf(static_cast<uint32_t>(1 + Rng.below(4)), Width);
    JobProgress Progress{.Phase = JobPhase::Running};
    for (uint32_t Number = 0; Number < 30; ++Number) {
      if (Rng.below(3) == 0) {
        Progress.DoneOccurrences.insert(Number);
        continue;
      }
      for (uint32_t Step = 0; Step < Job.Steps.size(); ++Step) {
        for (uint32_t I = 0; I < Width; ++I) {
          if (Rng.below(2) == 0)
            Progress.Tasks[{Number, Step, I}] = randomTask(Rng);
        }
      }
    }
    JobProgress Read = read(splitRows(Job, Progress));
    CHECK(Read.Tasks == Progress.Tasks);
    CHECK(Read.DoneOccurrences == Progress.DoneOccurrences);
    CHECK(fitsJob(Read, [&] {
      JobSpec Repeated = Job;
      Repeated.RepeatCount = 30;
      return Repeated;
    }()));
  }
}

/// Guards against progress of which a part is older, while the first row still
/// tells of occurrences that have rows by now, or are done.
TEST(ProgressInSeveralRows, RowsReplaceWhatTheFirstRowTells) {
  JobSpec Job = jobOf(1, 2);
  JobProgress First{.DoneOccurrences = {0}, .IsSplit = true};
  TaskProgress Old{.Phase = TaskPhase::Done, .Run = 1};
  TaskProgress New{.Phase = TaskPhase::Done, .Run = 2};
  for (uint32_t Number = 0; Number < 3; ++Number)
    First.Tasks[{Number, 0, 1}] = Old;
  JobProgress Own;
  Own.Tasks[{1, 0, 0}] = New;
  JobProgress Read = read(
      {{.Key = JobId, .Value = encodeProgress(First)},
       {.Key = progressRowKey(JobId, {1, 0}), .Value = encodeProgress(Own)}});
  std::map<TaskPosition, TaskProgress> Expected = {{{1, 0, 0}, New},
                                                   {{2, 0, 1}, Old}};
  CHECK(Read.Tasks == Expected);
  CHECK(Read.OccurrencesInRows == std::set<uint32_t>{1});
}

/// Guards against a job that is started once more because one of its rows can't
/// be read.
TEST(ProgressInSeveralRows, AMalformedRowMakesTheJobUnreadable) {
  JobProgress First{.IsSplit = true};
  Reader.add({.Key = JobId, .Value = encodeProgress(First)});
  CHECK_FALSE(Reader.add({.Key = progressRowKey(JobId, {1, 0}), .Value = "x"}));
  LONGS_EQUAL(1, Reader.unreadableJobs().count(JobId));
  LONGS_EQUAL(0, Reader.take().size());
}

TEST(ProgressInSeveralRows, RowsWithoutAFirstRowAreUnreadable) {
  Reader.add({.Key = progressRowKey(JobId, {1, 0}),
              .Value = encodeProgress(JobProgress())});
  LONGS_EQUAL(1, Reader.unreadableJobs().count(JobId));
}

/// Versions before read numbers only there.
TEST(ProgressInSeveralRows,
     TheFirstRowKeepsItsPhaseWhereEarlierVersionsReadIt) {
  JobProgress First{.Phase = JobPhase::Running,
                    .DoneOccurrences = {0, 1, 2, 5},
                    .IsSplit = true};
  STRCMP_EQUAL("2;running;0;@0-2,5;;", encodeProgress(First).c_str());
  CHECK(*decodePhase(encodeProgress(First)) == JobPhase::Running);
  First.IsSplit = false;
  STRCMP_EQUAL("2;running;0;0,1,2,5;;", encodeProgress(First).c_str());
}

TEST(OccurrencesThatAreDone, AreAsInASetWhateverTheOrder) {
  for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Random Rng(Seed);
    OccurrenceSet Ranges;
    std::set<uint32_t> Numbers;
    for (size_t I = 0; I < 60; ++I) {
      auto First = static_cast<uint32_t>(Rng.below(80));
      auto Last = First + static_cast<uint32_t>(Rng.below(6));
      Ranges.insertRange(First, Last);
      for (uint32_t Number = First; Number <= Last; ++Number)
        Numbers.insert(Number);
      LONGS_EQUAL(Numbers.size(), Ranges.size());
      for (uint32_t Number = 0; Number < 90; ++Number)
        LONGS_EQUAL(Numbers.count(Number), Ranges.count(Number));
    }
  }
}

TEST(OccurrencesThatAreDone, EndAtTheLargestNumber) {
  OccurrenceSet Ranges = {0xffffffff, 0xfffffffe, 0};
  LONGS_EQUAL(2, Ranges.ranges().size());
  LONGS_EQUAL(3, Ranges.size());
}

/// Guards against an accepted job that no row can hold.
TEST(AJobThatIsHandedIn, IsRefusedIfItsLabelsOutgrowARow) {
  std::string Label;
  for (size_t I = 0; I < MaxKeyBytes; ++I)
    Label += "\\u0001";
  auto BodyOf = [&](size_t Steps) {
    std::string List;
    for (size_t I = 0; I < Steps; ++I)
      List += fmt::format(R"({}{{"count":1,"constraints":"{}","image":"{}"}})",
                          I == 0 ? "" : ",", Label, Label);
    return R"({"spec":"x","steps":[)" + List + "]}";
  };
  platform::PlatformDocumentCodec Codec;
  CHECK_TRUE(static_cast<bool>(Codec.parseJob(BodyOf(20), Error)));
  CHECK_FALSE(static_cast<bool>(Codec.parseJob(BodyOf(30), Error)));
  STRCMP_EQUAL("steps", Error.Field.c_str());
}
