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
struct TryRecord {
  std::string Key; ///< Also the request's body.
  bool Repeatable = false;
  int64_t SentAt = 0;
  int64_t AnsweredAt = 0;
  std::string Entry;
  std::string Outcome; ///< done, not-run, unknown, or none: no answer came.
  std::string Body;
  bool EntryWasStopping = false; ///< It had been asked to stop gracefully.
};

/// An endpoint began or ended a request.
struct EndpointEvent {
  int64_t Time = 0;
  bool IsStart = true;
  std::string Endpoint;
  std::string Key;
};

/// A worker began or ended an attempt; or its process was killed.
struct AttemptEvent {
  enum class Kind { Start, End, Killed };
  int64_t Time = 0;
  Kind EventKind = Kind::Start;
  std::string Worker; ///< For Killed: the prefix of the workers' names.
  std::string Task;   ///< job/index
  uint32_t Attempt = 0;
  std::string Result;
  table::Resources Size;
};

/// An endpoint was listed as leaving, and every live entry had applied that
/// list at `AppliedAt`.
struct DrainRecord {
  std::string Endpoint;
  int64_t ListedAt = 0;
  int64_t AppliedAt = 0;
};

/// A version of the configuration that an entry's process had in force.
struct ConfigObservation {
  int64_t Time = 0;
  std::string Process; ///< Entry and incarnation.
  uint64_t Version = 0;
};

struct JobRecord {
  std::string Id;
  std::string State; ///< As its row says at the end.
  bool MustEnd = true;
  uint32_t TaskCount = 0;
};

/// Everything that a run recorded.
struct DeploymentHistory {
  std::vector<TryRecord> Tries;
  std::vector<EndpointEvent> EndpointEvents;
  std::vector<AttemptEvent> AttemptEvents;
  std::vector<DrainRecord> Drains;
  std::vector<ConfigObservation> ConfigObservations;
  std::vector<JobRecord> Jobs;
  /// Accepted changes by the version they made; each has one.
  std::vector<uint64_t> AcceptedVersions;
  std::map<std::string, table::Resources> WorkerCapacities;
  uint32_t SlotsPerEndpoint = 8;
};

enum class Violation {
  NonRepeatableRanTwice, ///< A request that must not be repeated.
  RanDespiteNotRun,      ///< Every try was told not-run, and it ran.
  WrongAnswer,           ///< Partial, or another caller's.
  DoneWithoutRun,
  SlotsExceeded,
  OverlappingAttempts,
  InstanceOvercommitted,
  RequestOnDrainingEndpoint,
  DroppedByGracefulStop,
  ConfigReverted,
  VersionAcceptedTwice, ///< Two changes to one version were both accepted.
  JobNeverEnded,
  JobSucceededWithoutTasks,
};

struct ViolationFinding {
  Violation Kind;
  std::string Detail;
};

std::string_view violationName(Violation Kind);

/// Reads the lines of a stand-in's history file into \p Out.
void readHistory(const std::string &File, DeploymentHistory &History);

/// Everything in \p Past that breaks a promise.
std::vector<ViolationFinding> findViolations(const DeploymentHistory &History);

} // namespace daisylanding::harness

#endif
