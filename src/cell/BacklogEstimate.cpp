#include "cell/BacklogEstimate.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::cell {

namespace {

constexpr double MilliCoresPerCore = 1e3;
constexpr double MillisPerSecond = 1e3;
/// Shorter waits are those of a calm service.
constexpr uint32_t MinStatedSeconds = 2;

} // namespace

WorkAmount workOf(const Resources &Demand, uint64_t Tasks, Millis RunTime) {
  double Seconds = static_cast<double>(Tasks) *
                   static_cast<double>(RunTime.count()) / MillisPerSecond;
  return {.CoreSeconds = Seconds * Demand.MilliCores / MilliCoresPerCore,
          .AcceleratorSeconds = Seconds * Demand.Accelerators};
}

Millis timeFor(const WorkAmount &Work, const CapacitySum &Capacity) {
  double Seconds = 0;
  if (Capacity.MilliCores > 0)
    Seconds = Work.CoreSeconds * MilliCoresPerCore /
              static_cast<double>(Capacity.MilliCores);
  if (Capacity.Accelerators > 0)
    Seconds = std::max(Seconds, Work.AcceleratorSeconds /
                                    static_cast<double>(Capacity.Accelerators));
  return Millis(static_cast<int64_t>(Seconds * MillisPerSecond));
}

void BacklogEstimate::set(std::span<const Item> Items) {
  Marks.clear();
  Arrivals.clear();
  Lasts.clear();
  for (const Item &Next : Items) {
    std::vector<Mark> &Class = Marks[Next.Class];
    WorkAmount UpTo = Class.empty() ? WorkAmount{} : Class.back().UpTo;
    UpTo += Next.Work;
    Class.push_back({.RankMs = Next.RankMs, .UpTo = UpTo});
    Lasts[{std::string(Next.Queue), std::string(Next.Workspace)}] = {
        .Class = Next.Class, .UpTo = UpTo};
  }
}

void BacklogEstimate::add(const Item &Added) {
  Arrivals[Added.Class].push_back({.RankMs = Added.RankMs, .UpTo = Added.Work});
}

WorkAmount BacklogEstimate::before(const WorkClass &Class,
                                   double RankMs) const {
  WorkAmount Work;
  if (auto Found = Marks.find(Class); Found != Marks.end()) {
    auto End = std::partition_point(
        Found->second.begin(), Found->second.end(),
        [&](const Mark &Step) { return Step.RankMs < RankMs; });
    if (End != Found->second.begin())
      Work = std::prev(End)->UpTo;
  }
  if (auto Found = Arrivals.find(Class); Found != Arrivals.end()) {
    for (const Mark &Step : Found->second)
      Work += Step.RankMs < RankMs ? Step.UpTo : WorkAmount{};
  }
  return Work;
}

BacklogStatement
BacklogEstimate::statement(const CapacityByClass &Capacities) const {
  BacklogStatement Statement;
  for (const auto &[Key, Entry] : Lasts) {
    auto Capacity = Capacities.find(Entry.Class);
    if (Capacity == Capacities.end())
      continue;
    Millis Wait = timeFor(Entry.UpTo, Capacity->second);
    auto Seconds = static_cast<uint32_t>(
        std::ceil(static_cast<double>(Wait.count()) / MillisPerSecond));
    if (Seconds >= MinStatedSeconds)
      Statement.Entries.push_back({.Queue = Key.first,
                                   .Workspace = Key.second,
                                   .WaitSeconds = Seconds});
  }
  std::stable_sort(Statement.Entries.begin(), Statement.Entries.end(),
                   [](const QueueBacklog &Left, const QueueBacklog &Right) {
                     return Left.WaitSeconds > Right.WaitSeconds;
                   });
  if (Statement.Entries.size() > BacklogStatement::MaxEntries)
    Statement.Entries.resize(BacklogStatement::MaxEntries);
  return Statement;
}

} // namespace daisylanding::cell
