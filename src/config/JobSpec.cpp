#include "config/JobSpec.h"

#include "config/Fields.h"
#include "table/Wire.h"

namespace daisylanding::config {

using nlohmann::json;

namespace {

constexpr int64_t MaxTasks = 100'000;
constexpr int64_t MaxTaskResource = 100'000'000;
constexpr int64_t MaxRunTimeMs = 31'536'000'000;
constexpr int64_t MaxFailuresLimit = 1'000;
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
  json Object = table::resourcesToJson(Spec.Size);
  Object["id"] = Spec.Id;
  Object["kind"] = jobKindName(Spec.Kind);
  Object["class"] = Spec.Class;
  Object["team"] = Spec.Team;
  Object["zone"] = Spec.AvailabilityZone;
  Object["tasks"] = Spec.Tasks;
  Object["run_time_ms"] = Spec.RunTime.count();
  Object["max_failures"] = Spec.MaxFailures;
  Object["payload"] = Spec.Payload;
  return Object;
}

Result<JobSpec> jobSpecFromJson(const json &Object, InputProblem &Problem) {
  Problem = {};
  FieldReader Fields(Object, Problem);
  JobSpec Spec;
  Spec.Id = Fields.name("id");
  Spec.Kind = static_cast<JobKind>(
      Fields.choice("kind", {"service", "batch", "gang"}, true));
  Spec.Class = Fields.name("class");
  Spec.Team = Fields.optionalName("team");
  Spec.AvailabilityZone = Fields.optionalName("zone");
  Spec.Tasks = static_cast<uint32_t>(Fields.integer("tasks", 1, 1, MaxTasks));
  Spec.Size = readResources(Fields, MaxTaskResource);
  Spec.RunTime = Millis(Fields.integer("run_time_ms", 60'000, 1, MaxRunTimeMs));
  Spec.MaxFailures = static_cast<uint32_t>(
      Fields.integer("max_failures", 3, 0, MaxFailuresLimit));
  Spec.Payload = Fields.text("payload", MaxPayloadBytes);
  Fields.finish();
  if (Fields.failed())
    return Problem.Code;
  return Spec;
}

} // namespace daisylanding::config
