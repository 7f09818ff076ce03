#ifndef DAISYLANDING_CONFIG_JOBSPEC_H
#define DAISYLANDING_CONFIG_JOBSPEC_H

#include "config/ClusterConfig.h"

namespace daisylanding::config {

enum class JobKind : uint8_t {
  Service, ///< Its tasks are kept running.
  Batch,   ///< Its tasks run to completion, one by one.
  Gang,    ///< Its tasks start all together or not at all.
};

/// What an operator asks to run.
struct JobSpec {
  std::string Id; ///< Chosen by the submitter; makes submission idempotent.
  JobKind Kind = JobKind::Batch;
  std::string Class;
  std::string Team;
  std::string AvailabilityZone; ///< Empty: the system chooses.
  uint32_t Tasks = 1;
  table::Resources Size;    ///< Of each task, as declared.
  Millis RunTime{60'000};   ///< Of each task, as declared.
  uint32_t MaxFailures = 3; ///< A task that fails more often ends its job.
  std::string Payload;      ///< Passed to the worker as it is.
};

std::string_view jobKindName(JobKind Kind);
nlohmann::json jobSpecToJson(const JobSpec &Spec);
Result<JobSpec> jobSpecFromJson(const nlohmann::json &Object,
                                InputProblem &Problem);

} // namespace daisylanding::config

#endif
