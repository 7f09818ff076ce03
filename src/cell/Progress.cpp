#include "cell/Progress.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace daisylanding::cell {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> PhaseNames = {
    "queued", "running", "completed", "failed", "cancelled"};

/// Written by hand: a row is rewritten with each change of its job, and the
/// library's tree of values was most of the cost.
void appendTask(std::string &Out, const TaskIndex &At,
                const TaskProgress &Task) {
  char Kept = 'w';
  if (Task.Phase == TaskPhase::Done)
    Kept = 'd';
  else if (isOpen(Task.Phase))
    Kept = 'o';
  Out += fmt::format("[{},{},{},\"{}\",{},{},{},{},{}]", At.Occurrence, At.Step,
                     At.Index, Kept, Task.Run, Task.Failures,
                     json(Task.Executor).dump(), json(Task.Checkpoint).dump(),
                     json(Task.Address).dump());
}

TaskPhase phaseOfTask(std::string_view Kept) {
  if (Kept == "d")
    return TaskPhase::Done;
  return Kept == "o" ? TaskPhase::Starting : TaskPhase::Waiting;
}

} // namespace

std::string_view phaseName(JobPhase Phase) {
  return PhaseNames[static_cast<size_t>(Phase)];
}

std::string encodeProgress(const JobProgress &Progress) {
  std::string Out = fmt::format("{{\"phase\":\"{}\",\"ended\":{},\"tasks\":[",
                                phaseName(Progress.Phase), Progress.EndedMs);
  bool First = true;
  for (const auto &[At, Task] : Progress.Tasks) {
    if (Task.Run == 0)
      continue;
    if (!First)
      Out += ',';
    First = false;
    appendTask(Out, At, Task);
  }
  Out += fmt::format("],\"done\":[{}]}}",
                     fmt::join(Progress.DoneOccurrences, ","));
  return Out;
}

Result<JobPhase> decodePhase(std::string_view Text) {
  json Source = json::parse(Text, nullptr, false);
  if (!Source.is_object())
    return Errc::Malformed;
  std::string Name = Source.value("phase", std::string());
  for (size_t I = 0; I < PhaseNames.size(); ++I) {
    if (PhaseNames[I] == Name)
      return static_cast<JobPhase>(I);
  }
  return Errc::Malformed;
}

Result<JobProgress> decodeProgress(std::string_view Text) {
  auto Phase = decodePhase(Text);
  if (!Phase)
    return Phase.error();
  try {
    json Source = json::parse(Text);
    JobProgress Out;
    Out.Phase = *Phase;
    Out.EndedMs = Source.value("ended", int64_t{0});
    for (const json &Row : Source.at("tasks")) {
      TaskIndex At{.Occurrence = Row.at(0).get<uint32_t>(),
                   .Step = Row.at(1).get<uint32_t>(),
                   .Index = Row.at(2).get<uint32_t>()};
      TaskProgress Task;
      Task.Phase = phaseOfTask(Row.at(3).get<std::string>());
      Task.Run = Row.at(4).get<uint32_t>();
      Task.Failures = Row.at(5).get<uint32_t>();
      Task.Executor = Row.at(6).get<std::string>();
      Task.Checkpoint = Row.at(7).get<std::string>();
      // Rows of an earlier version have no address.
      if (Row.size() > 8)
        Task.Address = Row.at(8).get<std::string>();
      Out.Tasks.emplace(At, std::move(Task));
    }
    for (const json &Each : Source.value("done", json::array()))
      Out.DoneOccurrences.insert(Each.get<uint32_t>());
    return Out;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

} // namespace daisylanding::cell
