#include "standin/MemoryTable.h"

namespace daisylanding::standin {

using namespace table;

Result<Row> MemoryTable::read(std::string_view Key) {
  if (Faults.Down)
    return Errc::Unreachable;
  ++Reads;
  auto Found = Rows.find(Key);
  return Found == Rows.end() ? Row{.Key = std::string(Key)} : Found->second;
}

Result<std::vector<Row>> MemoryTable::scan(std::string_view Prefix) {
  if (Faults.Down)
    return Errc::Unreachable;
  ++Reads;
  std::vector<Row> Out;
  for (auto I = Rows.lower_bound(Prefix); I != Rows.end(); ++I) {
    if (I->first.compare(0, Prefix.size(), Prefix) != 0)
      break;
    Out.push_back(I->second);
  }
  return Out;
}

Result<CommitResult> MemoryTable::commit(std::span<const Mutation> Mutations) {
  if (Faults.Down)
    return Errc::Unreachable;
  CommitResult Outcome;
  for (const Mutation &Each : Mutations) {
    Row Current = *read(Each.Key);
    if (Current.Version != Each.ExpectedVersion)
      Outcome.Conflicts.push_back(std::move(Current));
  }
  if (!Outcome.Conflicts.empty())
    return Outcome;
  ++Commits;
  Outcome.Committed = true;
  for (const Mutation &Each : Mutations) {
    uint64_t Version = Each.ExpectedVersion;
    if (Each.Kind == Operation::Put) {
      Version = ++LastVersion;
      Rows[Each.Key] = {Each.Key, Each.Value, Version};
    } else if (Each.Kind == Operation::Delete) {
      Rows.erase(Each.Key);
      Version = AbsentVersion;
    }
    Outcome.Versions.push_back(Version);
  }
  if (Faults.LoseNextAnswers > 0) {
    --Faults.LoseNextAnswers;
    return Errc::AnswerLost;
  }
  return Outcome;
}

std::error_code MemoryTable::put(std::string_view Key, std::string_view Value) {
  if (Faults.Down)
    return Errc::Unreachable;
  ++Commits;
  Objects[std::string(Key)] = Value;
  return {};
}

Result<std::string> MemoryTable::fetch(std::string_view Key) {
  if (Faults.Down)
    return Errc::Unreachable;
  auto Found = Objects.find(Key);
  if (Found == Objects.end())
    return Errc::NotFound;
  return Found->second;
}

} // namespace daisylanding::standin
