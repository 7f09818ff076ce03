#include "config/JobSpec.h"

#include "config/Fields.h"
#include "table/Wire.h"

namespace daisylanding::config {

using nlohmann::json;

namespace {

constexpr int64_t MaxTasks = 100'000;
constexpr int64_t MaxTaskAmount = 100'000'000;
constexpr int64_t MaxRunTimeMs = 31'536'000'000;
constexpr int64_t MaxFailuresAllowed = 1'000;
constexpr size_t MaxPayloadBytes = 4'096;

} // namespace

std::string_view jobKindName(JobKind Kind) {
  switch (Kind) {
  case JobKind::Service:
    return "service";
  case JobKind::Batch:
    return "batch";
  case JobKind::Gang:
    return "gang";
  }
  return "batch";
}

json jobSpecToJson(const JobSpec &Spec) {
  json Out = table::resourcesToJson(Spec.Size);
  Out["id"] = Spec.Id;
  Out["kind"] = jobKindName(Spec.Kind);
  Out["class"] = Spec.Class;
  Out["team"] = Spec.Team;
  Out["zone"] = Spec.AvailabilityZone;
  Out["tasks"] = Spec.Tasks;
  Out["run_time_ms"] = Spec.RunTime.count();
  Out["max_failures"] = Spec.MaxFailures;
  Out["payload"] = Spec.Payload;
  return Out;
}

Result<JobSpec> jobSpecFromJson(const json &Source, InputProblem &Problem) {
  Problem = {};
  FieldReader Fields(Source, Problem);
  JobSpec Spec;
  Spec.Id = Fields.name("id");
  Spec.Kind = static_cast<JobKind>(
      Fields.choice("kind", {"service", "batch", "gang"}, true));
  Spec.Class = Fields.name("class");
  Spec.Team = Fields.optionalName("team");
  Spec.AvailabilityZone = Fields.optionalName("zone");
  Spec.Tasks = static_cast<uint32_t>(Fields.integer("tasks", 1, 1, MaxTasks));
  Spec.Size = readResources(Fields, MaxTaskAmount);
  Spec.RunTime = Millis(Fields.integer("run_time_ms", 60'000, 1, MaxRunTimeMs));
  Spec.MaxFailures = static_cast<uint32_t>(
      Fields.integer("max_failures", 3, 0, MaxFailuresAllowed));
  Spec.Payload = Fields.text("payload", MaxPayloadBytes);
  Fields.finish();
  if (Fields.failed())
    return Problem.Code;
  return Spec;
}

} // namespace daisylanding::config
