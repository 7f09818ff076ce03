#include "cell/Progress.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace daisylanding::cell {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> PhaseNames = {
    "queued", "running", "completed", "failed", "cancelled"};

/// Formats the text directly: a row is rewritten with each change of its job,
/// and building a JSON tree was most of the cost.
void appendTask(std::string &Text, const TaskPosition &Position,
                const TaskProgress &Task) {
  char PhaseCode = 'w';
  if (Task.Phase == TaskPhase::Done)
    PhaseCode = 'd';
  else if (isOpen(Task.Phase))
    PhaseCode = 'o';
  Text += fmt::format("[{},{},{},\"{}\",{},{},{},{},{},{}]",
                      Position.Occurrence, Position.Step, Position.Index,
                      PhaseCode, Task.Run, Task.Failures,
                      json(Task.Executor).dump(), json(Task.Checkpoint).dump(),
                      json(Task.Address).dump(), Task.Crashes);
}

TaskPhase decodeTaskPhase(std::string_view PhaseCode) {
  if (PhaseCode == "d")
    return TaskPhase::Done;
  return PhaseCode == "o" ? TaskPhase::Starting : TaskPhase::Waiting;
}

} // namespace

std::string_view phaseName(JobPhase Phase) {
  return PhaseNames[static_cast<size_t>(Phase)];
}

std::string encodeProgress(const JobProgress &Progress) {
  std::string Text = fmt::format("{{\"phase\":\"{}\",\"ended\":{},\"tasks\":[",
                                 phaseName(Progress.Phase), Progress.EndedMs);
  bool IsFirst = true;
  for (const auto &[Position, Task] : Progress.Tasks) {
    if (Task.Run == 0)
      continue;
    if (!IsFirst)
      Text += ',';
    IsFirst = false;
    appendTask(Text, Position, Task);
  }
  Text += fmt::format("],\"done\":[{}]}}",
                      fmt::join(Progress.DoneOccurrences, ","));
  return Text;
}

Result<JobPhase> decodePhase(std::string_view Text) {
  json Document = json::parse(Text, nullptr, false);
  if (!Document.is_object())
    return Errc::Malformed;
  std::string Name = Document.value("phase", std::string());
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
    json Document = json::parse(Text);
    JobProgress Progress;
    Progress.Phase = *Phase;
    Progress.EndedMs = Document.value("ended", int64_t{0});
    for (const json &Row : Document.at("tasks")) {
      TaskPosition Position{.Occurrence = Row.at(0).get<uint32_t>(),
                            .Step = Row.at(1).get<uint32_t>(),
                            .Index = Row.at(2).get<uint32_t>()};
      TaskProgress Task;
      Task.Phase = decodeTaskPhase(Row.at(3).get<std::string>());
      Task.Run = Row.at(4).get<uint32_t>();
      Task.Failures = Row.at(5).get<uint32_t>();
      Task.Executor = Row.at(6).get<std::string>();
      Task.Checkpoint = Row.at(7).get<std::string>();
      // Rows written by earlier versions have no address, or no crashes.
      if (Row.size() > 8)
        Task.Address = Row.at(8).get<std::string>();
      if (Row.size() > 9)
        Task.Crashes = Row.at(9).get<uint32_t>();
      Progress.Tasks.emplace(Position, std::move(Task));
    }
    for (const json &Number : Document.value("done", json::array()))
      Progress.DoneOccurrences.insert(Number.get<uint32_t>());
    return Progress;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

} // namespace daisylanding::cell
