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
    NumberReader Numbers;
    Progress.EndedMs = Numbers.field<int64_t>(Document, "ended", 0);
    for (const json &Row : Document.at("tasks")) {
      TaskPosition Position{.Occurrence = Numbers.whole<uint32_t>(Row.at(0)),
                            .Step = Numbers.whole<uint32_t>(Row.at(1)),
                            .Index = Numbers.whole<uint32_t>(Row.at(2))};
      TaskProgress Task;
      Task.Phase = decodeTaskPhase(Row.at(3).get<std::string>());
      Task.Run = Numbers.whole<uint32_t>(Row.at(4));
      Task.Failures = Numbers.whole<uint32_t>(Row.at(5));
      Task.Executor = Row.at(6).get<std::string>();
      Task.Checkpoint = Row.at(7).get<std::string>();
      // Rows written by earlier versions have no address, or no crashes.
      if (Row.size() > 8)
        Task.Address = Row.at(8).get<std::string>();
      if (Row.size() > 9)
        Task.Crashes = Numbers.whole<uint32_t>(Row.at(9));
      Progress.Tasks.emplace(Position, std::move(Task));
    }
    for (const json &Number : Document.value("done", json::array()))
      Progress.DoneOccurrences.insert(Numbers.whole<uint32_t>(Number));
    if (Numbers.failed())
      return Errc::Malformed;
    return Progress;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

} // namespace daisylanding::cell
