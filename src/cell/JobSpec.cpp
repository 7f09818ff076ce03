#include "cell/JobSpec.h"

#include "common/Json.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace daisylanding::cell {

namespace {

using nlohmann::json;

void putText(json &Document, const char *Key, const std::string &Value) {
  if (!Value.empty())
    Document[Key] = Value;
}

void putNumber(json &Document, const char *Key, int64_t Value) {
  if (Value != 0)
    Document[Key] = Value;
}

void putFlag(json &Document, const char *Key, bool Value) {
  if (Value)
    Document[Key] = true;
}

json encodeStep(const StepSpec &Step) {
  json Document = json::object();
  Document["count"] = Step.Count;
  putNumber(Document, "cores", Step.Size.MilliCores);
  putNumber(Document, "memory", Step.Size.MemoryMb);
  putNumber(Document, "accelerators", Step.Size.Accelerators);
  putNumber(Document, "estimate", Step.Estimate.count());
  if (!Step.Dependencies.empty())
    Document["after"] = Step.Dependencies;
  putText(Document, "constraint", Step.Constraint);
  putText(Document, "affinity", Step.Affinity);
  putNumber(Document, "anti_affinity", Step.AntiAffinity);
  putText(Document, "image", Step.Image);
  putNumber(Document, "serving_target", Step.TailLatencyTarget.count());
  putNumber(Document, "may_miss", Step.MaxUnavailable);
  putFlag(Document, "checkpointing", Step.Checkpointing);
  putFlag(Document, "gang", Step.Gang);
  putFlag(Document, "colocate", Step.Colocate);
  putFlag(Document, "speculative", Step.Speculative);
  putFlag(Document, "long_running", Step.LongRunning);
  putFlag(Document, "filler", Step.BestEffort);
  return Document;
}

Millis durationField(const json &Document, const char *Key,
                     NumberReader &Numbers) {
  constexpr int64_t MaxDurationMs = 366LL * 24 * 3'600'000; ///< A year.
  return Millis(Numbers.field<int64_t>(Document, Key, 0, 0, MaxDurationMs));
}

StepSpec decodeStep(const json &Document, NumberReader &Numbers) {
  auto Number = [&](const char *Key) {
    return Numbers.field<uint32_t>(Document, Key, 0);
  };
  StepSpec Step;
  Step.Count = Numbers.field<uint32_t>(Document, "count", 1, 1, MaxTasks);
  Step.Size = {.MilliCores = Number("cores"),
               .MemoryMb = Number("memory"),
               .Accelerators = Number("accelerators")};
  Step.Estimate = durationField(Document, "estimate", Numbers);
  for (const json &Earlier : Document.value("after", json::array()))
    Step.Dependencies.push_back(Numbers.whole<uint32_t>(Earlier));
  Step.Constraint = Document.value("constraint", std::string());
  Step.Affinity = Document.value("affinity", std::string());
  Step.AntiAffinity = Number("anti_affinity");
  Step.Image = Document.value("image", std::string());
  Step.TailLatencyTarget = durationField(Document, "serving_target", Numbers);
  Step.MaxUnavailable = Number("may_miss");
  Step.Checkpointing = Document.value("checkpointing", false);
  Step.Gang = Document.value("gang", false);
  Step.Colocate = Document.value("colocate", false);
  Step.Speculative = Document.value("speculative", false);
  Step.LongRunning = Document.value("long_running", false);
  Step.BestEffort = Document.value("filler", false);
  return Step;
}

/// Whether there are steps, not too many, and each depends on earlier ones
/// only.
bool areStepsValid(const std::vector<StepSpec> &Steps) {
  for (size_t I = 0; I < Steps.size(); ++I) {
    for (uint32_t Dependency : Steps[I].Dependencies) {
      if (Dependency >= I)
        return false;
    }
  }
  return !Steps.empty() && Steps.size() <= MaxSteps;
}

json encodeWork(const JobSpec &Job) {
  json Steps = json::array();
  for (const StepSpec &Step : Job.Steps)
    Steps.push_back(encodeStep(Step));
  json Document = {
      {"queue", Job.Queue}, {"spec", Job.Payload}, {"steps", Steps}};
  putNumber(Document, "repeat", Job.RepeatCount);
  putNumber(Document, "first_run", Job.FirstRunMs);
  putNumber(Document, "interval", Job.IntervalMs);
  return Document;
}

json encodeTerms(const Queue &Terms) {
  json Document = {{"service", Terms.Service},
                   {"max_attempts", Terms.MaxAttempts},
                   {"stretch", Terms.Stretch}};
  putNumber(Document, "priority", Terms.Priority);
  putNumber(Document, "target", Terms.TargetLatency.count());
  if (Terms.Advice)
    Document["advice"] = {{"base", Terms.Advice->BaseMs},
                          {"each", Terms.Advice->PerExecutorMs},
                          {"validity", Terms.Advice->Validity.count()}};
  return Document;
}

Queue decodeTerms(const json &Document, const std::string &Name,
                  NumberReader &Numbers) {
  constexpr double MaxStretch = 1e6;
  constexpr double MaxAdviceMs = 1e6;
  Queue Terms{
      .Name = Name,
      .Service = Document.value("service", std::string()),
      .Priority = Numbers.field<uint32_t>(Document, "priority", 0),
      .MaxAttempts = Numbers.field<uint32_t>(Document, "max_attempts", 1),
      .Stretch = Numbers.realField(Document, "stretch", 1, 0, MaxStretch),
      .TargetLatency = durationField(Document, "target", Numbers)};
  auto Advice = Document.find("advice");
  if (Advice != Document.end())
    Terms.Advice = {
        .BaseMs = Numbers.realField(*Advice, "base", 0, 0, MaxAdviceMs),
        .PerExecutorMs = Numbers.realField(*Advice, "each", 0, 0, MaxAdviceMs),
        .Validity = durationField(*Advice, "validity", Numbers)};
  return Terms;
}

bool parseNumber(std::string_view Text, uint32_t &Number) {
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size();
}

/// Removes the number after the last dot of \p Text.
bool takeNumber(std::string_view &Text, uint32_t &Number) {
  size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos ||
      !parseNumber(Text.substr(Dot + 1), Number))
    return false;
  Text = Text.substr(0, Dot);
  return true;
}

} // namespace

bool isJobId(std::string_view Text) {
  return Text.size() == JobIdDigits &&
         std::all_of(Text.begin(), Text.end(), [](char Digit) {
           return (Digit >= '0' && Digit <= '9') ||
                  (Digit >= 'a' && Digit <= 'f') ||
                  (Digit >= 'A' && Digit <= 'F');
         });
}

uint32_t tasksPerOccurrence(const JobSpec &Job) {
  uint32_t Tasks = 0;
  for (const StepSpec &Step : Job.Steps)
    Tasks += Step.Count;
  return Tasks;
}

std::string encodeJob(const JobSpec &Job) {
  json Document = encodeWork(Job);
  Document["id"] = Job.Id;
  Document["accepted"] = Job.AcceptedMs;
  putText(Document, "workspace", Job.Workspace);
  if (Job.Terms) {
    Document["terms"] = encodeTerms(*Job.Terms);
    putNumber(Document["terms"], "config",
              static_cast<int64_t>(Job.TermsVersion));
  }
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobSpec> decodeJob(std::string_view Text) {
  // Further occurrences can be added to it.
  constexpr int64_t MaxFirstRunMs = std::numeric_limits<int64_t>::max() / 2;
  try {
    json Document = parseJson(Text);
    JobSpec Job;
    NumberReader Numbers;
    Job.Id = Document.at("id").get<std::string>();
    Job.Queue = Document.at("queue").get<std::string>();
    Job.Payload = Document.at("spec").get<std::string>();
    for (const json &Step : Document.at("steps"))
      Job.Steps.push_back(decodeStep(Step, Numbers));
    Job.RepeatCount = Numbers.field<uint32_t>(Document, "repeat", 0);
    Job.FirstRunMs =
        Numbers.field<int64_t>(Document, "first_run", 0, 0, MaxFirstRunMs);
    Job.IntervalMs = durationField(Document, "interval", Numbers).count();
    Job.AcceptedMs = Numbers.field<int64_t>(Document, "accepted", 0);
    Job.Workspace = Document.value("workspace", std::string());
    if (Document.contains("terms")) {
      const json &Terms = Document["terms"];
      Job.Terms = decodeTerms(Terms, Job.Queue, Numbers);
      Job.TermsVersion = Numbers.field<uint64_t>(Terms, "config", 0);
    }
    if (Numbers.failed() || !areStepsValid(Job.Steps))
      return Errc::Malformed;
    return Job;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

bool isSameWork(const JobSpec &Left, const JobSpec &Right) {
  return encodeWork(Left) == encodeWork(Right);
}

bool isSameRequest(const JobSpec &Left, const JobSpec &Right) {
  bool MayBeSameWorkspace = Left.Workspace.empty() || Right.Workspace.empty() ||
                            Left.Workspace == Right.Workspace;
  return MayBeSameWorkspace && isSameWork(Left, Right);
}

uint64_t workHash(const JobSpec &Job) {
  std::string Text =
      encodeWork(Job).dump(-1, ' ', false, json::error_handler_t::replace);
  return XXH3_64bits(Text.data(), Text.size());
}

std::string taskName(const TaskRef &Ref) {
  return fmt::format("{}.{}.{}.{}", Ref.Job, Ref.Occurrence, Ref.Step,
                     Ref.Index);
}

std::string stepName(const TaskRef &Ref) {
  return fmt::format("{}.{}.{}", Ref.Job, Ref.Occurrence, Ref.Step);
}

Result<TaskRef> parseTaskName(std::string_view Name) {
  TaskRef Ref;
  bool IsValid = takeNumber(Name, Ref.Index) && takeNumber(Name, Ref.Step) &&
                 takeNumber(Name, Ref.Occurrence);
  if (!IsValid)
    return Errc::Malformed;
  Ref.Job = Name;
  return Ref;
}

} // namespace daisylanding::cell
