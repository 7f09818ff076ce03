#include "cell/EntryCapacity.h"

#include "common/Json.h"

#include <algorithm>

namespace daisylanding::cell {

namespace {

constexpr const char *KnowsEndedField = "knows_ended";
constexpr const char *KnowsQueueOfEndedField = "knows_ended_queue";
constexpr const char *KnowsQueuedRunsField = "knows_queued_runs";

bool isTrue(std::string_view Text, const char *Name) {
  auto Document = parseJson(Text);
  auto Field = Document.find(Name);
  return Field != Document.end() && *Field == true;
}

} // namespace

EntryCapacity largerOf(const EntryCapacity &Left, const EntryCapacity &Right) {
  return {.MilliCores = std::max(Left.MilliCores, Right.MilliCores),
          .LinkKbitPerSecond =
              std::max(Left.LinkKbitPerSecond, Right.LinkKbitPerSecond)};
}

bool isMuchSmaller(const EntryCapacity &Own, const EntryCapacity &Largest) {
  return Own.MilliCores < Largest.MilliCores / 2 ||
         Own.LinkKbitPerSecond < Largest.LinkKbitPerSecond / 2;
}

std::string encodeEntryCapacity(const EntryCapacity &Capacity) {
  nlohmann::json Document = {{"millicores", Capacity.MilliCores},
                             {"link_kbit", Capacity.LinkKbitPerSecond},
                             {KnowsEndedField, true},
                             {KnowsQueueOfEndedField, true},
                             {KnowsQueuedRunsField, true}};
  return Document.dump();
}

Result<EntryCapacity> decodeEntryCapacity(std::string_view Text) {
  try {
    auto Document = parseJson(Text);
    NumberReader Numbers;
    EntryCapacity Capacity{
        .MilliCores = Numbers.whole<uint32_t>(Document.at("millicores")),
        .LinkKbitPerSecond = Numbers.whole<uint32_t>(Document.at("link_kbit"))};
    if (Numbers.failed())
      return Errc::Malformed;
    return Capacity;
  } catch (const nlohmann::json::exception &) {
    return Errc::Malformed;
  }
}

bool knowsEndedJobs(std::string_view Text) {
  return isTrue(Text, KnowsEndedField);
}

bool knowsQueueOfEnded(std::string_view Text) {
  return isTrue(Text, KnowsQueueOfEndedField);
}

bool knowsQueuedRuns(std::string_view Text) {
  return isTrue(Text, KnowsQueuedRunsField);
}

} // namespace daisylanding::cell
