#ifndef DAISYLANDING_TESTS_HARNESS_CHECKER_H
#define DAISYLANDING_TESTS_HARNESS_CHECKER_H

#include "table/InstanceList.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::harness {

/// One try of a request as its caller saw it. All recorded times are the
/// machine's monotonic clock in microseconds.
struct TryRecord {
  std::string Key; ///< Idempotency key; also the request's body.
  bool Repeatable = false;
  int64_t SentAt = 0;
  int64_t AnsweredAt = 0;
  std::string Entry;
  std::string Outcome; ///< done, not-run, unknown, or none (no answer).
  std::string Body;
  bool EntryWasStopping = false; ///< A graceful stop was requested.
};

/// The start or end of a request on an endpoint.
struct EndpointEvent {
  int64_t Time = 0;
  bool IsStart = true;
  std::string Endpoint;
  std::string Key;
};

/// The start or end of an attempt on a worker, or the kill of its process.
struct AttemptEvent {
  enum class Kind { Start, End, Killed };
  int64_t Time = 0;
  Kind EventKind = Kind::Start;
  std::string Worker; ///< For Killed: prefix of the names of all its workers.
  std::string Task;   ///< job/index
  uint32_t Attempt = 0;
  std::string Result;
  table::Resources Size;
};

/// An endpoint marked as leaving in the instance list at `ListedAt`. Every
/// running entry had applied that list by `AppliedAt`, INT64_MAX until then.
struct DrainRecord {
  std::string Endpoint;
  int64_t ListedAt = 0;
  int64_t AppliedAt = 0;
};

/// A configuration version that an entry's process reported to be in force.
struct ConfigObservation {
  int64_t Time = 0;
  std::string Process; ///< Entry name and process id.
  uint64_t Version = 0;
};

struct JobRecord {
  std::string Id;
  std::string State;   ///< As operators see it at the end of the scenario.
  bool MustEnd = true; ///< Batch and gang jobs.
  uint32_t TaskCount = 0;
};

/// Everything recorded while a scenario ran.
struct DeploymentHistory {
  std::vector<TryRecord> Tries;
  std::vector<EndpointEvent> EndpointEvents;
  std::vector<AttemptEvent> AttemptEvents;
  std::vector<DrainRecord> Drains;
  std::vector<ConfigObservation> ConfigObservations;
  std::vector<JobRecord> Jobs;
  /// The configuration version that each accepted change produced; no two may
  /// be equal.
  std::vector<uint64_t> AcceptedVersions;
  std::map<std::string, table::Resources> WorkerCapacities;
  uint32_t SlotsPerEndpoint = 8;
};

enum class Violation {
  NonRepeatableRanTwice, ///< A non-repeatable request ran more than once.
  RanDespiteNotRun,      ///< Every try was answered not-run, but it ran.
  WrongAnswer,           ///< Truncated, or the answer to another request.
  DoneWithoutRun,
  SlotsExceeded,
  OverlappingAttempts,
  InstanceOvercommitted,
  RequestOnDrainingEndpoint,
  DroppedByGracefulStop,
  ConfigReverted,
  VersionAcceptedTwice, ///< Two changes of one version were both accepted.
  JobNeverEnded,
  JobSucceededWithoutTasks,
};

struct ViolationFinding {
  Violation Kind;
  std::string Detail;
};

std::string_view violationName(Violation Kind);

/// Appends the events of a stand-in's history file to \p History.
void readHistory(const std::string &File, DeploymentHistory &History);

/// Returns every violation of the guarantees to callers and operators in
/// \p History.
std::vector<ViolationFinding> findViolations(const DeploymentHistory &History);

} // namespace daisylanding::harness

#endif
