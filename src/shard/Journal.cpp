#include "shard/Journal.h"

#include "table/Wire.h"

#include <nlohmann/json.hpp>

namespace daisylanding::shard {

using nlohmann::json;

namespace {

/// The first element of each record's array; part of the stored format.
enum class Tag : int {
  JobAccepted = 1,
  TaskStarted = 2,
  TaskEnded = 3,
  JobStopped = 4,
  JobEnded = 5,
  JobMoved = 6,
};

json resources(const table::Resources &Amount) {
  return json::array({Amount.MilliCores, Amount.MemoryMb, Amount.Accelerators});
}

table::Resources resources(const json &Source) {
  return {.MilliCores = Source.at(0),
          .MemoryMb = Source.at(1),
          .Accelerators = Source.at(2)};
}

AttemptId attempt(const json &Source) {
  return {.Job = Source.at(1), .Index = Source.at(2), .Attempt = Source.at(3)};
}

struct Writer {
  json operator()(const JobAccepted &Each) const {
    return json::array({Tag::JobAccepted, config::jobSpecToJson(Each.Spec),
                        Each.WallMicros, Each.Done, Each.AttemptBase});
  }
  json operator()(const TaskStarted &Each) const {
    return json::array({Tag::TaskStarted, Each.Id.Job, Each.Id.Index,
                        Each.Id.Attempt, Each.Instance, resources(Each.Size),
                        Each.Leased});
  }
  json operator()(const TaskEnded &Each) const {
    return json::array({Tag::TaskEnded, Each.Id.Job, Each.Id.Index,
                        Each.Id.Attempt, Each.Reason, resources(Each.Peak),
                        Each.Ran.count()});
  }
  json operator()(const JobStopped &Each) const {
    return json::array({Tag::JobStopped, Each.Job});
  }
  json operator()(const JobEnded &Each) const {
    return json::array({Tag::JobEnded, Each.Job, Each.Outcome});
  }
  json operator()(const JobMoved &Each) const {
    return json::array({Tag::JobMoved, Each.Job});
  }
};

Result<Record> readRecord(const json &Source) {
  switch (static_cast<Tag>(Source.at(0).get<int>())) {
  case Tag::JobAccepted: {
    config::InputProblem Problem;
    auto Spec = config::jobSpecFromJson(Source.at(1), Problem);
    if (!Spec)
      return Spec.error();
    return Record(JobAccepted{*Spec, Source.at(2), Source.at(3), Source.at(4)});
  }
  case Tag::TaskStarted:
    return Record(TaskStarted{attempt(Source), Source.at(4),
                              resources(Source.at(5)), Source.at(6)});
  case Tag::TaskEnded:
    return Record(TaskEnded{
        attempt(Source), static_cast<EndReason>(Source.at(4).get<int>()),
        resources(Source.at(5)), Millis(Source.at(6).get<int64_t>())});
  case Tag::JobStopped:
    return Record(JobStopped{Source.at(1)});
  case Tag::JobEnded:
    return Record(JobEnded{Source.at(1),
                           static_cast<JobOutcome>(Source.at(2).get<int>())});
  case Tag::JobMoved:
    return Record(JobMoved{Source.at(1)});
  }
  return Errc::Malformed;
}

} // namespace

std::string journalRowToText(const JournalRow &Row) {
  json List = json::array();
  for (const Record &Each : Row.Records)
    List.push_back(std::visit(Writer(), Each));
  json Out = {{"token", Row.Token},
              {"list_version", Row.ListVersion},
              {"records", std::move(List)}};
  return Out.dump();
}

Result<JournalRow> journalRowFromText(std::string_view Text) {
  try {
    json Source = json::parse(Text);
    JournalRow Out;
    Out.Token = Source.at("token");
    Out.ListVersion = Source.at("list_version");
    for (const json &Each : Source.at("records")) {
      auto One = readRecord(Each);
      if (!One)
        return One.error();
      Out.Records.push_back(std::move(*One));
    }
    return Out;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

std::string_view outcomeName(JobOutcome Value) {
  switch (Value) {
  case JobOutcome::Succeeded:
    return "succeeded";
  case JobOutcome::Failed:
    return "failed";
  case JobOutcome::Stopped:
    return "stopped";
  }
  return "failed";
}

std::string_view reasonName(EndReason Value) {
  switch (Value) {
  case EndReason::Succeeded:
    return "succeeded";
  case EndReason::Failed:
    return "failed";
  case EndReason::Stopped:
    return "stopped";
  case EndReason::Lost:
    return "lost";
  }
  return "lost";
}

} // namespace daisylanding::shard
