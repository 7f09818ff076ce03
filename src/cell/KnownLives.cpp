#include "cell/KnownLives.h"

#include "common/Json.h"

#include <fmt/format.h>

#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace daisylanding::cell {

using nlohmann::json;

std::string lifeRowKey(std::string_view ExecutorId) {
  uint64_t Hash = XXH3_64bits(ExecutorId.data(), ExecutorId.size());
  return fmt::format("{:02}", Hash % LifeRowCount);
}

std::string encodeLives(const LivesById &Lives) { return json(Lives).dump(); }

Result<LivesById> decodeLives(std::string_view Text) {
  try {
    json Document = parseJson(Text);
    NumberReader Numbers;
    LivesById Lives;
    for (const auto &[Id, Born] : Document.get_ref<const json::object_t &>())
      Lives.emplace(Id, Numbers.whole<int64_t>(Born));
    if (Numbers.failed())
      return Errc::Malformed;
    return Lives;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

void KnownLives::restore(std::string_view Key, LivesById Lives) {
  StoredRows.insert_or_assign(std::string(Key), std::move(Lives));
}

bool KnownLives::isStored(const ExecutorLife &Life) const {
  auto Row = StoredRows.find(lifeRowKey(Life.Id));
  if (Life.Born == 0 || Row == StoredRows.end())
    return false;
  auto Found = Row->second.find(Life.Id);
  return Found != Row->second.end() && Found->second == Life.Born;
}

void KnownLives::note(const ExecutorLife &Life) {
  if (Life.Born != 0 && !isStored(Life))
    DueRows[lifeRowKey(Life.Id)] = ++LastRevision;
}

std::vector<LifeRow> KnownLives::dueRows(std::span<const ExecutorLife> Answered,
                                         size_t Limit) const {
  std::vector<LifeRow> Rows;
  for (const auto &[Key, Revision] : DueRows) {
    if (Rows.size() >= Limit)
      break;
    Rows.push_back({.Key = Key, .Revision = Revision});
    for (const ExecutorLife &Life : Answered) {
      if (lifeRowKey(Life.Id) == Key)
        Rows.back().Lives.emplace(Life.Id, Life.Born);
    }
  }
  return Rows;
}

void KnownLives::noteStored(LifeRow Row) {
  auto Due = DueRows.find(Row.Key);
  if (Due != DueRows.end() && Due->second == Row.Revision)
    DueRows.erase(Due);
  StoredRows.insert_or_assign(std::move(Row.Key), std::move(Row.Lives));
}

} // namespace daisylanding::cell
