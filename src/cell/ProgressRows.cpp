#include "cell/ProgressRows.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace daisylanding::cell {

namespace {

constexpr char KeySeparator = '/';

/// The occurrence of a row whose key continues with \p Suffix.
std::optional<uint32_t> occurrenceOf(std::string_view Suffix) {
  uint32_t Occurrence = 0;
  const char *End = Suffix.data() + Suffix.size();
  auto Parsed = std::from_chars(Suffix.data(), End, Occurrence);
  if (Parsed.ec != std::errc() || Parsed.ptr == End || *Parsed.ptr != '.')
    return std::nullopt;
  return Occurrence;
}

void replaceOccurrence(JobProgress &Progress, uint32_t Occurrence,
                       std::map<TaskPosition, TaskProgress> Tasks) {
  auto First = Progress.Tasks.lower_bound({.Occurrence = Occurrence});
  auto End = First;
  while (End != Progress.Tasks.end() && End->first.Occurrence == Occurrence)
    ++End;
  Progress.Tasks.erase(First, End);
  Progress.Tasks.merge(Tasks);
}

/// The first row may still tell of tasks whose occurrences are done.
void dropDoneTasks(JobProgress &Progress) {
  std::erase_if(Progress.Tasks, [&](const auto &Entry) {
    return Progress.IsSplit &&
           Progress.DoneOccurrences.count(Entry.first.Occurrence) > 0;
  });
}

} // namespace

std::string progressRowKey(std::string_view JobId, const ProgressRowRef &Ref) {
  return fmt::format("{}{}{}.{}", JobId, KeySeparator, Ref.Occurrence,
                     Ref.Range);
}

ProgressRowRef progressRowOf(const JobSpec &Job, const TaskPosition &Position) {
  uint32_t Number = Position.Index;
  for (uint32_t Step = 0; Step < Position.Step; ++Step)
    Number += Job.Steps[Step].Count;
  return {.Occurrence = Position.Occurrence,
          .Range = Number / TasksPerProgressRow};
}

uint32_t progressRowsPerOccurrence(const JobSpec &Job) {
  return (tasksPerOccurrence(Job) + TasksPerProgressRow - 1) /
         TasksPerProgressRow;
}

bool ProgressReader::add(const store::Row &Row) {
  size_t Separator = Row.Key.find(KeySeparator);
  std::string JobId = Row.Key.substr(0, Separator);
  bool IsReadable = false;
  if (Separator != std::string::npos) {
    IsReadable = addOwnRow(JobId, Row);
  } else if (auto Progress = decodeProgress(Row.Value)) {
    Jobs[JobId] = std::move(*Progress);
    IsReadable = true;
  }
  if (!IsReadable)
    MalformedJobs.insert(JobId);
  return IsReadable;
}

bool ProgressReader::addOwnRow(std::string_view JobId, const store::Row &Row) {
  auto Occurrence =
      occurrenceOf(std::string_view(Row.Key).substr(JobId.size() + 1));
  auto Progress = decodeProgress(Row.Value);
  if (!Occurrence || !Progress)
    return false;
  Rows[std::string(JobId)][*Occurrence].merge(Progress->Tasks);
  return true;
}

std::set<std::string> ProgressReader::unreadableJobs() const {
  std::set<std::string> Unreadable = MalformedJobs;
  for (const auto &[JobId, Occurrences] : Rows) {
    auto Found = Jobs.find(JobId);
    if (Found == Jobs.end() || !Found->second.IsSplit)
      Unreadable.insert(JobId);
  }
  return Unreadable;
}

std::map<std::string, JobProgress> ProgressReader::take() {
  for (const std::string &JobId : unreadableJobs()) {
    Jobs.erase(JobId);
    Rows.erase(JobId);
  }
  for (auto &[JobId, Occurrences] : Rows) {
    JobProgress &Progress = Jobs.at(JobId);
    for (auto &[Occurrence, Tasks] : Occurrences) {
      Progress.OccurrencesInRows.insert(Occurrence);
      replaceOccurrence(Progress, Occurrence, std::move(Tasks));
    }
  }
  for (auto &Entry : Jobs)
    dropDoneTasks(Entry.second);
  Rows.clear();
  return std::exchange(Jobs, {});
}

} // namespace daisylanding::cell
