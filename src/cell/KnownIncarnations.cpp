#include "cell/KnownIncarnations.h"

#include "common/Json.h"

#include <fmt/format.h>

#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace daisylanding::cell {

using nlohmann::json;

std::string incarnationRowKey(std::string_view ExecutorId) {
  uint64_t Hash = XXH3_64bits(ExecutorId.data(), ExecutorId.size());
  return fmt::format("{:02}", Hash % IncarnationRowCount);
}

std::string encodeIncarnations(const BornById &Entries) {
  return json(Entries).dump();
}

Result<BornById> decodeIncarnations(std::string_view Text) {
  try {
    json Document = parseJson(Text);
    NumberReader Numbers;
    BornById Entries;
    for (const auto &[Id, Born] : Document.get_ref<const json::object_t &>())
      Entries.emplace(Id, Numbers.whole<int64_t>(Born));
    if (Numbers.failed())
      return Errc::Malformed;
    return Entries;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

void KnownIncarnations::restore(std::string_view Key, BornById Entries) {
  StoredRows.insert_or_assign(std::string(Key), std::move(Entries));
}

bool KnownIncarnations::isStored(const Incarnation &Given) const {
  auto Row = StoredRows.find(incarnationRowKey(Given.Id));
  if (Given.Born == 0 || Row == StoredRows.end())
    return false;
  auto Found = Row->second.find(Given.Id);
  return Found != Row->second.end() && Found->second == Given.Born;
}

void KnownIncarnations::note(const Incarnation &Given) {
  if (Given.Born != 0 && !isStored(Given))
    DueRows[incarnationRowKey(Given.Id)] = ++LastRevision;
}

std::vector<IncarnationRow>
KnownIncarnations::dueRows(std::span<const Incarnation> Answered,
                           size_t Limit) const {
  std::vector<IncarnationRow> Rows;
  for (const auto &[Key, Revision] : DueRows) {
    if (Rows.size() >= Limit)
      break;
    Rows.push_back({.Key = Key, .Revision = Revision});
    for (const Incarnation &Given : Answered) {
      if (incarnationRowKey(Given.Id) == Key)
        Rows.back().Entries.emplace(Given.Id, Given.Born);
    }
  }
  return Rows;
}

void KnownIncarnations::noteStored(IncarnationRow Row) {
  auto Due = DueRows.find(Row.Key);
  if (Due != DueRows.end() && Due->second == Row.Revision)
    DueRows.erase(Due);
  StoredRows.insert_or_assign(std::move(Row.Key), std::move(Row.Entries));
}

} // namespace daisylanding::cell
