#ifndef DAISYLANDING_CONFIG_JOBSPEC_H
#define DAISYLANDING_CONFIG_JOBSPEC_H

#include "config/ClusterConfig.h"

namespace daisylanding::config {

enum class JobKind : uint8_t {
  Service, ///< Its tasks are kept running.
  Batch,   ///< Its tasks run to completion independently.
  Gang,    ///< Its tasks start together or not at all.
};

/// A job as submitted by an operator.
struct JobSpec {
  std::string Id; ///< Set by the submitter; makes submission idempotent.
  JobKind Kind = JobKind::Batch;
  std::string Class;
  std::string Team;
  std::string AvailabilityZone; ///< Empty to let the scheduler choose.
  uint32_t Tasks = 1;
  table::Resources Size;    ///< Of each task, as declared.
  Millis RunTime{60'000};   ///< Of each task, as declared.
  uint32_t MaxFailures = 3; ///< The job ends if a task fails more often.
  std::string Payload;      ///< Passed unchanged to the worker.
};

std::string_view jobKindName(JobKind Kind);
nlohmann::json jobSpecToJson(const JobSpec &Spec);
Result<JobSpec> jobSpecFromJson(const nlohmann::json &Object,
                                InputProblem &Problem);

} // namespace daisylanding::config

#endif
