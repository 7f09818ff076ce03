#include "cell/CellOwner.h"
#include "cell/CommitEntries.h"
#include "cell/ProgressRows.h"
#include "common/Log.h"

#include <algorithm>
#include <span>

/// What a commit stores of a job. Progress is one row as long as one row holds
/// it. After that it is split: the rows of an occurrence are written together
/// when it changes, so that a successor finds each occurrence as it was at one
/// moment. A commit takes as many occurrences as it has room for, those first
/// whose rows are the oldest.
namespace daisylanding::cell {

namespace {

/// A job whose progress is split takes no more of a commit, unless a single
/// occurrence needs more.
constexpr size_t MaxEntriesPerSplitJob = store::MaxTransactionEntries / 2;
constexpr size_t MaxBytesPerSplitJob = store::MaxTransactionBytes / 2;
/// Of these, for the removal of rows while the job goes on. More than the rows
/// of one occurrence.
constexpr size_t MaxRowRemovals = 20;

TaskMark markOf(const LiveTask &Task) {
  if (Task.Run == 0 && Task.Failures == 0)
    return {};
  TaskMark Mark{
      .Run = Task.Run, .Failures = Task.Failures, .Crashes = Task.Crashes};
  if (isOpen(Task.Phase)) {
    Mark.Phase = TaskPhase::Starting;
    Mark.Executor = Task.Executor;
  } else if (Task.Phase == TaskPhase::Done) {
    Mark.Phase = TaskPhase::Done;
  }
  return Mark;
}

/// Of the tasks of all steps, in their order.
std::vector<TaskMark> marksOf(const LiveOccurrence &Occurrence) {
  std::vector<TaskMark> Marks;
  for (const LiveStep &Step : Occurrence.Steps) {
    for (const LiveTask &Task : Step.Tasks)
      Marks.push_back(markOf(Task));
  }
  return Marks;
}

/// Whether the row of a range tells otherwise. One that isn't known is taken to
/// have no task that has run: there may be none.
bool isRowChanged(std::span<const TaskMark> Marks,
                  std::span<const TaskMark> StoredMarks, size_t First) {
  size_t End = std::min(First + TasksPerProgressRow, Marks.size());
  for (size_t I = First; I < End; ++I) {
    if (Marks[I] != (StoredMarks.empty() ? TaskMark{} : StoredMarks[I]))
      return true;
  }
  return false;
}

/// The ranges of tasks whose rows are to be written.
std::vector<uint32_t> changedRows(std::span<const TaskMark> Marks,
                                  std::span<const TaskMark> StoredMarks) {
  std::vector<uint32_t> Ranges;
  for (size_t First = 0; First < Marks.size(); First += TasksPerProgressRow) {
    if (isRowChanged(Marks, StoredMarks, First))
      Ranges.push_back(static_cast<uint32_t>(First / TasksPerProgressRow));
  }
  return Ranges;
}

void append(store::Transaction &Tx, const store::Transaction &Part) {
  Tx.Preconditions.insert(Tx.Preconditions.end(), Part.Preconditions.begin(),
                          Part.Preconditions.end());
  Tx.Writes.insert(Tx.Writes.end(), Part.Writes.begin(), Part.Writes.end());
  Tx.Removals.insert(Tx.Removals.end(), Part.Removals.begin(),
                     Part.Removals.end());
}

} // namespace

void CellOwner::addTasks(uint32_t Number, const LiveOccurrence &Occurrence,
                         std::map<TaskPosition, TaskProgress> &Tasks) const {
  for (uint32_t StepIndex = 0; StepIndex < Occurrence.Steps.size();
       ++StepIndex) {
    for (uint32_t I = 0; I < Occurrence.Steps[StepIndex].Tasks.size(); ++I) {
      const LiveTask &Task = Occurrence.Steps[StepIndex].Tasks[I];
      if (Task.Run == 0 && Task.Failures == 0)
        continue;
      TaskProgress &StoredTask = Tasks[{Number, StepIndex, I}];
      StoredTask.Phase = Task.Phase;
      StoredTask.Run = Task.Run;
      StoredTask.Failures = Task.Failures;
      StoredTask.Crashes = Task.Crashes;
      StoredTask.Checkpoint = Task.Checkpoint;
      if (isOpen(Task.Phase)) {
        StoredTask.Executor = Pool[Task.Executor].Info.Id;
        StoredTask.Address = Pool[Task.Executor].Info.Address;
        StoredTask.Born = Pool[Task.Executor].Info.Born;
      }
    }
  }
}

/// All but the tasks.
JobProgress CellOwner::progressHeadOf(const LiveJob &Job) {
  return {.Phase = Job.Phase,
          .EndedMs = Job.EndedMs,
          .DoneOccurrences = Job.DoneOccurrences,
          .IsSplit = Job.IsSplit};
}

/// Whether the tasks of the occurrence have to be stored. Nothing of an ended
/// job is started again, so that its tasks would only make every later load
/// longer.
bool CellOwner::needsRows(const LiveJob &Job, uint32_t Occurrence) {
  bool IsOver = isFinal(Job.Phase) && Job.OpenRuns == 0;
  return !IsOver && Job.Occurrences.count(Occurrence) > 0;
}

bool CellOwner::hasRowsToRemove(const LiveJob &Job) {
  return std::any_of(
      Job.OccurrencesInRows.begin(), Job.OccurrencesInRows.end(),
      [&](uint32_t Occurrence) { return !needsRows(Job, Occurrence); });
}

/// What the commit can hold beside the owner's row.
CellOwner::CommitRoom CellOwner::roomIn(const CommitInFlight &Commit,
                                        size_t MaxEntries) {
  const store::Transaction &Tx = Commit.Transaction;
  size_t Entries = Tx.entryCount() + OwnerRowEntries;
  size_t Bytes = Tx.byteCount() + store::MaxRowBytes;
  return {.Entries = MaxEntries - std::min(MaxEntries, Entries),
          .Bytes = store::MaxTransactionBytes -
                   std::min(store::MaxTransactionBytes, Bytes)};
}

/// Adds what is to be stored of the job, of one whose progress is split as much
/// as there is room for. Adds nothing if there is no room for that.
void CellOwner::addJob(CommitInFlight &Commit, LiveJob &Job, size_t MaxEntries,
                       int64_t StoreClockMs) {
  const std::string &Id = Job.Spec.Id;
  if (isFinal(Job.Phase) && Job.EndedMs == 0)
    Job.EndedMs = std::max<int64_t>(1, StoreClockMs);
  JobChange Change{.JobId = Id, .Revision = Job.Revision};
  if (mayMove(Commit, Job)) {
    Commit.Jobs.push_back(std::move(Change));
    moveRows(Commit, Id, endedJobOf(Job));
    return;
  }
  store::Transaction Part;
  // Jobs that are not stored can't have been cancelled.
  if (Job.Stored) {
    Part.Preconditions.push_back({.Table = JobTable, .Key = cancelKey(Id)});
  } else {
    Part.Preconditions.push_back({.Table = JobTable, .Key = Id});
    Part.Preconditions.push_back({.Table = EndedTable, .Key = Id});
    Part.Writes.push_back(
        {.Table = JobTable, .Key = Id, .Value = encodeJob(Job.Spec)});
  }
  CommitRoom Room = roomIn(Commit, MaxEntries);
  bool HasProgress = Job.Phase != JobPhase::Queued || hasRun(Job);
  if (HasProgress && !Job.IsSplit)
    addWholeProgress(Job, Part, Change);
  if (HasProgress && Job.IsSplit && !addSplitProgress(Job, Room, Part, Change))
    return;
  if (!Room.holds(Part))
    return;
  std::vector<executor::RunId> Starts = startsToRecord(Job, Change);
  if (Job.Stored && Starts.empty())
    Part.Preconditions.clear();
  append(Commit.Transaction, Part);
  Commit.Starts.insert(Commit.Starts.end(), Starts.begin(), Starts.end());
  if (!Job.Stored)
    Commit.OfferedJobs.push_back(Id);
  Commit.Jobs.push_back(std::move(Change));
}

/// The starts that the change records.
std::vector<executor::RunId>
CellOwner::startsToRecord(LiveJob &Job, const JobChange &Change) {
  std::vector<executor::RunId> Starts;
  for (const auto &[Number, Occurrence] : Job.Occurrences) {
    if (Change.LeftOut.count(Number))
      continue;
    for (uint32_t StepIndex = 0; StepIndex < Occurrence.Steps.size();
         ++StepIndex) {
      for (uint32_t I = 0; I < Occurrence.Steps[StepIndex].Tasks.size(); ++I) {
        const LiveTask &Task = Occurrence.Steps[StepIndex].Tasks[I];
        if (Task.Phase == TaskPhase::Recording)
          Starts.push_back(
              {TaskKey{&Job, {Number, StepIndex, I}}.name(), Task.Run});
      }
    }
  }
  return Starts;
}

/// Adds the one row that holds all progress, or splits it if it has become too
/// large for one.
void CellOwner::addWholeProgress(LiveJob &Job, store::Transaction &Part,
                                 JobChange &Change) const {
  std::map<TaskPosition, TaskProgress> Tasks;
  for (const auto &[Number, Occurrence] : Job.Occurrences) {
    if (needsRows(Job, Number))
      addTasks(Number, Occurrence, Tasks);
  }
  std::string Text = encodeTasks(Tasks);
  std::string Value = encodeProgressHead(progressHeadOf(Job)) + Text;
  if (Value.size() > MaxSharedRowBytes) {
    splitProgress(Job);
    return;
  }
  Part.Writes.push_back(
      {.Table = ProgressTable, .Key = Job.Spec.Id, .Value = std::move(Value)});
  Change.Tasks = std::move(Text);
}

/// From now on the progress is stored in several rows. Until all occurrences
/// have rows, the first row goes on telling what is stored of them.
void CellOwner::splitProgress(LiveJob &Job) {
  Job.IsSplit = true;
  for (auto &[Number, Occurrence] : Job.Occurrences)
    Occurrence.StoredRevision =
        std::max(Occurrence.StoredRevision, Job.RecordedRevision);
  logInfo("progress-split", "job={} occurrences={} done={}", Job.Spec.Id,
          Job.Occurrences.size(), Job.DoneOccurrences.size());
}

/// Adds the job's first row and the rows of occurrences that have changed.
/// Returns false if there is no room for any, and the job can wait.
bool CellOwner::addSplitProgress(const LiveJob &Job, const CommitRoom &Room,
                                 store::Transaction &Part,
                                 JobChange &Change) const {
  store::RowWrite FirstRow{.Table = ProgressTable,
                           .Key = Job.Spec.Id,
                           .Value = encodeProgressHead(progressHeadOf(Job)) +
                                    Job.StoredTasks};
  Part.Writes.push_back(FirstRow);
  CommitRoom Share{.Entries = std::min(Room.Entries, MaxEntriesPerSplitJob),
                   .Bytes = std::min(Room.Bytes, MaxBytesPerSplitJob)};
  addRowRemovals(Job, Share, Part, Change);
  std::vector<std::pair<uint64_t, uint32_t>> OldestFirst;
  for (const auto &[Number, Occurrence] : Job.Occurrences) {
    if (needsRows(Job, Number))
      OldestFirst.emplace_back(Occurrence.StoredRevision, Number);
  }
  std::sort(OldestFirst.begin(), OldestFirst.end());
  for (const auto &[StoredRevision, Number] : OldestFirst)
    addOccurrenceRows(Job, Number, Change.Rows.empty() ? Room : Share, Part,
                      Change);
  if (Change.LeftOut.empty()) {
    auto Written = std::find_if(
        Part.Writes.begin(), Part.Writes.end(), [&](const auto &Write) {
          return Write.Table == ProgressTable && Write.Key == Job.Spec.Id;
        });
    Change.Tasks = encodeTasks({});
    Written->Value = encodeProgressHead(progressHeadOf(Job)) + *Change.Tasks;
  }
  return Change.LeftOut.empty() || !Change.Rows.empty() || !Job.Stored;
}

void CellOwner::addRowRemovals(const LiveJob &Job, const CommitRoom &Room,
                               store::Transaction &Part, JobChange &Change) {
  uint32_t RowsEach = progressRowsPerOccurrence(Job.Spec);
  bool GoesOn = !isFinal(Job.Phase) || Job.OpenRuns > 0;
  size_t MaxRemovals = GoesOn ? MaxRowRemovals : Room.Entries;
  for (uint32_t Number : Job.OccurrencesInRows) {
    if (needsRows(Job, Number))
      continue;
    if (Part.Removals.size() + RowsEach > MaxRemovals ||
        Part.entryCount() + RowsEach > Room.Entries)
      return;
    for (uint32_t Range = 0; Range < RowsEach; ++Range)
      Part.Removals.push_back(
          {.Table = ProgressTable,
           .Key = progressRowKey(Job.Spec.Id, {Number, Range})});
    Change.RemovedRows.push_back(Number);
  }
}

/// Adds the occurrence's rows that have changed, all of them or none.
void CellOwner::addOccurrenceRows(const LiveJob &Job, uint32_t Number,
                                  const CommitRoom &Room,
                                  store::Transaction &Part,
                                  JobChange &Change) const {
  const LiveOccurrence &Occurrence = Job.Occurrences.at(Number);
  std::vector<TaskMark> Marks = marksOf(Occurrence);
  std::vector<uint32_t> Changed = changedRows(Marks, Occurrence.StoredMarks);
  if (Changed.empty())
    return;
  std::map<TaskPosition, TaskProgress> Tasks;
  addTasks(Number, Occurrence, Tasks);
  std::map<uint32_t, JobProgress> Rows;
  for (uint32_t Range : Changed)
    Rows[Range].Phase = Job.Phase;
  for (auto &[Position, Task] : Tasks) {
    auto Row = Rows.find(progressRowOf(Job.Spec, Position).Range);
    if (Row != Rows.end())
      Row->second.Tasks.emplace(Position, std::move(Task));
  }
  size_t WritesBefore = Part.Writes.size();
  for (const auto &[Range, Row] : Rows)
    Part.Writes.push_back({.Table = ProgressTable,
                           .Key = progressRowKey(Job.Spec.Id, {Number, Range}),
                           .Value = encodeProgress(Row)});
  if (Room.holds(Part)) {
    Change.Rows.emplace(Number, std::move(Marks));
    return;
  }
  Part.Writes.resize(WritesBefore);
  Change.LeftOut.emplace(Number, Occurrence.StoredRevision);
}

/// Takes over what is known of the job's rows. What each tells is stored anew
/// with the first change.
void CellOwner::restoreRows(LiveJob &Job, const JobProgress &Progress) {
  Job.IsSplit = Progress.IsSplit;
  Job.OccurrencesInRows = Progress.OccurrencesInRows;
  std::map<TaskPosition, TaskProgress> Tasks;
  for (const auto &[Position, Task] : Progress.Tasks) {
    if (!Progress.OccurrencesInRows.count(Position.Occurrence))
      Tasks.emplace(Position, Task);
  }
  Job.StoredTasks = encodeTasks(Tasks);
}

/// Notes what a commit has stored. An end is acknowledged once all rows that
/// tell of it are: the rows that were left out are older.
void CellOwner::finishChange(JobChange &Change) {
  LiveJob &Job = Jobs.at(Change.JobId);
  if (Change.Tasks)
    Job.StoredTasks = std::move(*Change.Tasks);
  for (uint32_t Number : Change.RemovedRows)
    Job.OccurrencesInRows.erase(Number);
  for (auto &[Number, Marks] : Change.Rows) {
    Job.OccurrencesInRows.insert(Number);
    auto Found = Job.Occurrences.find(Number);
    if (Found != Job.Occurrences.end())
      Found->second.StoredMarks = std::move(Marks);
  }
  uint64_t Recorded = Change.Revision;
  for (const auto &[Number, Revision] : Change.LeftOut)
    Recorded = std::min(Recorded, Revision);
  for (auto &[Number, Occurrence] : Job.Occurrences) {
    if (!Change.LeftOut.count(Number))
      Occurrence.StoredRevision =
          std::max(Occurrence.StoredRevision, Change.Revision);
  }
  Job.RecordedRevision = std::max(Job.RecordedRevision, Recorded);
  DirtyJobs.erase(Change.JobId);
  if (Job.RecordedRevision != Job.Revision || hasRowsToRemove(Job))
    DirtyJobs.emplace(Change.JobId, DirtyMark{.Number = NextDirtyNumber++,
                                              .Sequence = LastBuiltSequence});
}

} // namespace daisylanding::cell
