#include "shard/Journal.h"

#include "table/Wire.h"

#include <nlohmann/json.hpp>

namespace daisylanding::shard {

using nlohmann::json;

namespace {

/// First element of a record's array; part of the stored format.
enum class RecordTag : int {
  JobAccepted = 1,
  TaskStarted = 2,
  TaskEnded = 3,
  JobStopped = 4,
  JobEnded = 5,
  JobMoved = 6,
};

json resourcesToArray(const table::Resources &Amount) {
  return json::array({Amount.MilliCores, Amount.MemoryMb, Amount.Accelerators});
}

table::Resources resourcesFromArray(const json &Source) {
  return {.MilliCores = Source.at(0),
          .MemoryMb = Source.at(1),
          .Accelerators = Source.at(2)};
}

AttemptId attemptIdFromJson(const json &Source) {
  return {.Job = Source.at(1), .Index = Source.at(2), .Attempt = Source.at(3)};
}

struct RecordWriter {
  json operator()(const JobAccepted &Change) const {
    return json::array({RecordTag::JobAccepted,
                        config::jobSpecToJson(Change.Spec), Change.WallMicros,
                        Change.SucceededTasks, Change.AttemptBase});
  }
  json operator()(const TaskStarted &Change) const {
    return json::array({RecordTag::TaskStarted, Change.Id.Job, Change.Id.Index,
                        Change.Id.Attempt, Change.Instance,
                        resourcesToArray(Change.Size), Change.Leased});
  }
  json operator()(const TaskEnded &Change) const {
    return json::array({RecordTag::TaskEnded, Change.Id.Job, Change.Id.Index,
                        Change.Id.Attempt, Change.Kind,
                        resourcesToArray(Change.Peak), Change.RunTime.count()});
  }
  json operator()(const JobStopped &Change) const {
    return json::array({RecordTag::JobStopped, Change.Job});
  }
  json operator()(const JobEnded &Change) const {
    return json::array({RecordTag::JobEnded, Change.Job, Change.Outcome});
  }
  json operator()(const JobMoved &Change) const {
    return json::array({RecordTag::JobMoved, Change.Job});
  }
};

Result<Record> recordFromJson(const json &Source) {
  switch (static_cast<RecordTag>(Source.at(0).get<int>())) {
  case RecordTag::JobAccepted: {
    config::InputProblem Problem;
    auto Spec = config::jobSpecFromJson(Source.at(1), Problem);
    if (!Spec)
      return Spec.error();
    return Record(JobAccepted{*Spec, Source.at(2), Source.at(3), Source.at(4)});
  }
  case RecordTag::TaskStarted:
    return Record(TaskStarted{attemptIdFromJson(Source), Source.at(4),
                              resourcesFromArray(Source.at(5)), Source.at(6)});
  case RecordTag::TaskEnded:
    return Record(TaskEnded{attemptIdFromJson(Source),
                            static_cast<EndKind>(Source.at(4).get<int>()),
                            resourcesFromArray(Source.at(5)),
                            Millis(Source.at(6).get<int64_t>())});
  case RecordTag::JobStopped:
    return Record(JobStopped{Source.at(1)});
  case RecordTag::JobEnded:
    return Record(JobEnded{Source.at(1),
                           static_cast<JobOutcome>(Source.at(2).get<int>())});
  case RecordTag::JobMoved:
    return Record(JobMoved{Source.at(1)});
  }
  return Errc::Malformed;
}

} // namespace

std::string journalRowToText(const JournalRow &Row) {
  json RecordList = json::array();
  for (const Record &Change : Row.Records)
    RecordList.push_back(std::visit(RecordWriter(), Change));
  json Document = {{"token", Row.Token},
                   {"list_version", Row.ListVersion},
                   {"records", std::move(RecordList)}};
  return Document.dump();
}

Result<JournalRow> journalRowFromText(std::string_view Text) {
  try {
    json Source = json::parse(Text);
    JournalRow Row;
    Row.Token = Source.at("token");
    Row.ListVersion = Source.at("list_version");
    for (const json &RecordSource : Source.at("records")) {
      auto Parsed = recordFromJson(RecordSource);
      if (!Parsed)
        return Parsed.error();
      Row.Records.push_back(std::move(*Parsed));
    }
    return Row;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

std::string_view outcomeName(JobOutcome Outcome) {
  switch (Outcome) {
  case JobOutcome::Succeeded:
    return "succeeded";
  case JobOutcome::Failed:
    return "failed";
  case JobOutcome::Stopped:
    return "stopped";
  }
  return "failed";
}

std::string_view endKindName(EndKind Kind) {
  switch (Kind) {
  case EndKind::Succeeded:
    return "succeeded";
  case EndKind::Failed:
    return "failed";
  case EndKind::Stopped:
    return "stopped";
  case EndKind::Lost:
    return "lost";
  }
  return "lost";
}

} // namespace daisylanding::shard
