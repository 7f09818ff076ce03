#include "standin/MemoryTable.h"

namespace daisylanding::standin {

using namespace table;

Result<Row> MemoryTable::read(std::string_view Key) {
  if (Faults.Unreachable)
    return Errc::Unreachable;
  ++ReadCount;
  auto It = Rows.find(Key);
  return It == Rows.end() ? Row{.Key = std::string(Key)} : It->second;
}

Result<std::vector<Row>> MemoryTable::scan(std::string_view Prefix) {
  if (Faults.Unreachable)
    return Errc::Unreachable;
  ++ReadCount;
  std::vector<Row> MatchingRows;
  for (auto It = Rows.lower_bound(Prefix); It != Rows.end(); ++It) {
    if (It->first.compare(0, Prefix.size(), Prefix) != 0)
      break;
    MatchingRows.push_back(It->second);
  }
  return MatchingRows;
}

Result<CommitResult> MemoryTable::commit(std::span<const Mutation> Mutations) {
  if (Faults.Unreachable)
    return Errc::Unreachable;
  CommitResult Outcome;
  for (const Mutation &Change : Mutations) {
    Row CurrentRow = *read(Change.Key);
    if (CurrentRow.Version != Change.ExpectedVersion)
      Outcome.Conflicts.push_back(std::move(CurrentRow));
  }
  if (!Outcome.Conflicts.empty())
    return Outcome;
  ++CommitCount;
  Outcome.Committed = true;
  for (const Mutation &Change : Mutations) {
    uint64_t Version = Change.ExpectedVersion;
    if (Change.Kind == Operation::Put) {
      Version = ++LastVersion;
      Rows[Change.Key] = {Change.Key, Change.Value, Version};
    } else if (Change.Kind == Operation::Delete) {
      Rows.erase(Change.Key);
      Version = AbsentVersion;
    }
    Outcome.Versions.push_back(Version);
  }
  if (Faults.ResponsesToLose > 0) {
    --Faults.ResponsesToLose;
    return Errc::AnswerLost;
  }
  return Outcome;
}

std::error_code MemoryTable::put(std::string_view Key, std::string_view Value) {
  if (Faults.Unreachable)
    return Errc::Unreachable;
  ++CommitCount;
  Objects[std::string(Key)] = Value;
  return {};
}

Result<std::string> MemoryTable::fetch(std::string_view Key) {
  if (Faults.Unreachable)
    return Errc::Unreachable;
  auto It = Objects.find(Key);
  if (It == Objects.end())
    return Errc::NotFound;
  return It->second;
}

} // namespace daisylanding::standin
