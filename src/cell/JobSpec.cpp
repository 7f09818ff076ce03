#include "cell/JobSpec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace daisylanding::cell {

namespace {

using nlohmann::json;

void putText(json &Out, const char *Key, const std::string &Value) {
  if (!Value.empty())
    Out[Key] = Value;
}

void putNumber(json &Out, const char *Key, int64_t Value) {
  if (Value != 0)
    Out[Key] = Value;
}

void putFlag(json &Out, const char *Key, bool Value) {
  if (Value)
    Out[Key] = true;
}

json encodeStep(const StepSpec &Step) {
  json Out = json::object();
  Out["count"] = Step.Count;
  putNumber(Out, "cores", Step.Size.MilliCores);
  putNumber(Out, "memory", Step.Size.MemoryMb);
  putNumber(Out, "accelerators", Step.Size.Accelerators);
  putNumber(Out, "estimate", Step.Estimate.count());
  if (!Step.After.empty())
    Out["after"] = Step.After;
  putText(Out, "constraint", Step.Constraint);
  putText(Out, "affinity", Step.Affinity);
  putNumber(Out, "anti_affinity", Step.AntiAffinity);
  putText(Out, "image", Step.Image);
  putNumber(Out, "serving_target", Step.ServingTarget.count());
  putNumber(Out, "may_miss", Step.MayMiss);
  putFlag(Out, "checkpointing", Step.Checkpointing);
  putFlag(Out, "gang", Step.Gang);
  putFlag(Out, "colocate", Step.Colocate);
  putFlag(Out, "speculative", Step.Speculative);
  putFlag(Out, "long_running", Step.LongRunning);
  putFlag(Out, "filler", Step.Filler);
  return Out;
}

StepSpec decodeStep(const json &Source) {
  StepSpec Out;
  Out.Count = Source.value("count", 1U);
  Out.Size = {.MilliCores = Source.value("cores", 0U),
              .MemoryMb = Source.value("memory", 0U),
              .Accelerators = Source.value("accelerators", 0U)};
  Out.Estimate = Millis(Source.value("estimate", int64_t{0}));
  Out.After = Source.value("after", std::vector<uint32_t>());
  Out.Constraint = Source.value("constraint", std::string());
  Out.Affinity = Source.value("affinity", std::string());
  Out.AntiAffinity = Source.value("anti_affinity", 0U);
  Out.Image = Source.value("image", std::string());
  Out.ServingTarget = Millis(Source.value("serving_target", int64_t{0}));
  Out.MayMiss = Source.value("may_miss", 0U);
  Out.Checkpointing = Source.value("checkpointing", false);
  Out.Gang = Source.value("gang", false);
  Out.Colocate = Source.value("colocate", false);
  Out.Speculative = Source.value("speculative", false);
  Out.LongRunning = Source.value("long_running", false);
  Out.Filler = Source.value("filler", false);
  return Out;
}

json workOf(const JobSpec &Job) {
  json Steps = json::array();
  for (const StepSpec &Each : Job.Steps)
    Steps.push_back(encodeStep(Each));
  json Out = {{"queue", Job.Queue}, {"spec", Job.Spec}, {"steps", Steps}};
  putNumber(Out, "repeat", Job.RepeatCount);
  putNumber(Out, "first_run", Job.FirstRunMs);
  putNumber(Out, "interval", Job.IntervalMs);
  return Out;
}

bool parseNumber(std::string_view Text, uint32_t &Out) {
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size();
}

/// Takes the part after the last dot off \p Text.
bool takeNumber(std::string_view &Text, uint32_t &Out) {
  size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos || !parseNumber(Text.substr(Dot + 1), Out))
    return false;
  Text = Text.substr(0, Dot);
  return true;
}

} // namespace

bool isJobId(std::string_view Text) {
  return Text.size() == JobIdDigits &&
         std::all_of(Text.begin(), Text.end(), [](char Each) {
           return (Each >= '0' && Each <= '9') ||
                  (Each >= 'a' && Each <= 'f') || (Each >= 'A' && Each <= 'F');
         });
}

std::string encodeJob(const JobSpec &Job) {
  json Out = workOf(Job);
  Out["id"] = Job.Id;
  Out["accepted"] = Job.AcceptedMs;
  return Out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobSpec> decodeJob(std::string_view Text) {
  try {
    json Source = json::parse(Text);
    JobSpec Out;
    Out.Id = Source.at("id").get<std::string>();
    Out.Queue = Source.at("queue").get<std::string>();
    Out.Spec = Source.at("spec").get<std::string>();
    for (const json &Each : Source.at("steps"))
      Out.Steps.push_back(decodeStep(Each));
    Out.RepeatCount = Source.value("repeat", 0U);
    Out.FirstRunMs = Source.value("first_run", int64_t{0});
    Out.IntervalMs = Source.value("interval", int64_t{0});
    Out.AcceptedMs = Source.value("accepted", int64_t{0});
    return Out;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

bool sameWork(const JobSpec &Left, const JobSpec &Right) {
  return workOf(Left) == workOf(Right);
}

std::string taskName(const TaskRef &Of) {
  return fmt::format("{}.{}.{}.{}", Of.Job, Of.Occurrence, Of.Step, Of.Index);
}

std::string stepName(const TaskRef &Of) {
  return fmt::format("{}.{}.{}", Of.Job, Of.Occurrence, Of.Step);
}

Result<TaskRef> parseTaskName(std::string_view Name) {
  TaskRef Out;
  bool Valid = takeNumber(Name, Out.Index) && takeNumber(Name, Out.Step) &&
               takeNumber(Name, Out.Occurrence);
  if (!Valid)
    return Errc::Malformed;
  Out.Job = Name;
  return Out;
}

} // namespace daisylanding::cell
