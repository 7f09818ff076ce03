#ifndef DAISYLANDING_TESTS_HARNESS_CHECKER_H
#define DAISYLANDING_TESTS_HARNESS_CHECKER_H

#include "table/InstanceList.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::harness {

/// What a caller was told of one try. Times are the machine's monotonic clock
/// in microseconds, as in all histories.
struct Told {
  std::string Key; ///< Also the request's body.
  bool Repeatable = false;
  int64_t AskedAt = 0;
  int64_t ToldAt = 0;
  std::string Entry;
  std::string Outcome; ///< done, not-run, unknown, or none: no answer came.
  std::string Body;
  bool EntryWasStopping = false; ///< It had been asked to stop gracefully.
};

/// An endpoint began or ended a request.
struct EndpointRun {
  int64_t At = 0;
  bool Begins = true;
  std::string Endpoint;
  std::string Key;
};

/// A worker began or ended an attempt; or its process was killed.
struct TaskRun {
  enum class Kind { Start, End, Killed };
  int64_t At = 0;
  Kind What = Kind::Start;
  std::string Worker; ///< For Killed: the prefix of the workers' names.
  std::string Task;   ///< job/index
  uint32_t Attempt = 0;
  std::string Result;
  table::Resources Size;
};

/// An endpoint was listed as leaving, and every live entry had applied that
/// list at `AppliedAt`.
struct Leaving {
  std::string Endpoint;
  int64_t ListedAt = 0;
  int64_t AppliedAt = 0;
};

/// A version of the configuration that an entry's process had in force.
struct VersionSeen {
  int64_t At = 0;
  std::string Process; ///< Entry and incarnation.
  uint64_t Version = 0;
};

struct JobFate {
  std::string Id;
  std::string State; ///< As its row says at the end.
  bool Batch = true;
  uint32_t Tasks = 0;
};

/// Everything that a run recorded.
struct Histories {
  std::vector<Told> Answers;
  std::vector<EndpointRun> Runs;
  std::vector<TaskRun> Tasks;
  std::vector<Leaving> Drains;
  std::vector<VersionSeen> Versions;
  std::vector<JobFate> Jobs;
  /// Accepted changes by the version they made; each has one.
  std::vector<uint64_t> AcceptedVersions;
  std::map<std::string, table::Resources> Capacities;
  uint32_t SlotsPerEndpoint = 8;
};

enum class Violation {
  RanTwice,    ///< A request that must not be repeated.
  NotRunRan,   ///< Every try was told not-run, and it ran.
  WrongAnswer, ///< Partial, or another caller's.
  DoneButNeverRan,
  SlotsExceeded,
  TaskRanTwiceAtOnce,
  InstanceOverbooked,
  WorkOnLeavingEndpoint,
  CutByPlannedStop,
  ConfigReverted,
  RaceHadTwoWinners, ///< Two changes to one version were both accepted.
  JobLost,
  JobEndedWithoutItsTasks,
};

struct Finding {
  Violation What;
  std::string Detail;
};

std::string_view violationName(Violation What);

/// Reads the lines of a stand-in's history file into \p Out.
void readHistory(const std::string &File, Histories &Out);

/// Everything in \p Past that breaks a promise.
std::vector<Finding> check(const Histories &Past);

} // namespace daisylanding::harness

#endif
