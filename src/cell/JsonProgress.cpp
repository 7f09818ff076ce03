#include "cell/JsonProgress.h"

#include "common/Json.h"

namespace daisylanding::cell {

namespace {

using nlohmann::json;

TaskPhase decodeTaskPhase(std::string_view PhaseCode) {
  if (PhaseCode == "d")
    return TaskPhase::Done;
  return PhaseCode == "o" ? TaskPhase::Starting : TaskPhase::Waiting;
}

} // namespace

Result<JobPhase> decodeJsonPhase(std::string_view Text) {
  json Document = parseJson(Text);
  auto Name = Document.find("phase");
  if (Name == Document.end() || !Name->is_string())
    return Errc::Malformed;
  auto Phase = phaseOf(Name->get_ref<const std::string &>());
  if (!Phase)
    return Errc::Malformed;
  return *Phase;
}

Result<JobProgress> decodeJsonProgress(std::string_view Text) {
  auto Phase = decodeJsonPhase(Text);
  if (!Phase)
    return Phase.error();
  try {
    json Document = parseJson(Text);
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
