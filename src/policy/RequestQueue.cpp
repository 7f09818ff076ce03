#include "policy/RequestQueue.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::policy {

namespace {

/// Half-life of the count of recent starts by class.
constexpr double ShareHalfLifeSeconds = 2;

/// A class is over its share from this multiple of an equal share.
constexpr double ShareTolerance = 1.1;

/// A class below its share is urgent when 1/5 of its waiting target is left.
constexpr int64_t UrgentSlackDivisor = 5;

/// Percentage of its waiting target that a request may be expected to wait; the
/// rest allows for estimation errors.
constexpr int64_t AdmissiblePercent = 90;

/// A queued request is removed at this multiple of its waiting target.
constexpr int64_t MaxWaitFactor = 3;

Micros waitBehind(size_t Ahead, double StartsPerSecond) {
  if (StartsPerSecond <= 0)
    return Micros(0);
  constexpr double MicrosPerSecond = 1e6;
  double Seconds = static_cast<double>(Ahead) / StartsPerSecond;
  return Micros(static_cast<int64_t>(Seconds * MicrosPerSecond));
}

} // namespace

RequestQueue::RequestQueue(const RequestQueueOptions &Options)
    : MaxWaiting(Options.MaxWaiting) {
  for (Millis Target : Options.WaitingTargets) {
    ClassState &Class = Classes.emplace_back();
    Class.Target = Target;
  }
}

/// Returns how many queued requests are due before \p Request.
size_t RequestQueue::countAhead(const QueuedRequest &Request) const {
  TimePoint DueAt = Request.Arrived + Classes[Request.Class].Target;
  size_t Ahead = 0;
  for (const ClassState &Class : Classes) {
    TimePoint LatestArrival = DueAt - Class.Target;
    auto IsEarlier = [&](const QueuedRequest &Queued) {
      return Queued.Arrived <= LatestArrival;
    };
    auto End =
        std::partition_point(Class.Queue.begin(), Class.Queue.end(), IsEarlier);
    Ahead += End - Class.Queue.begin();
  }
  return Ahead;
}

size_t RequestQueue::countActiveClasses() const {
  return std::count_if(
      Classes.begin(), Classes.end(),
      [](const ClassState &Class) { return !Class.Queue.empty(); });
}

/// Requests start by due time. A class below its share waits for others only
/// until it becomes urgent; and no class gets more than an equal share of the
/// starts or its recent share, whichever is larger.
Micros RequestQueue::expectedWait(const QueuedRequest &Request,
                                  double StartsPerSecond) const {
  const ClassState &Class = Classes[Request.Class];
  Micros WaitInOrder = waitBehind(countAhead(Request), StartsPerSecond);
  Micros UntilUrgent = Class.Target - Class.Target / UrgentSlackDivisor;
  if (!isOverShare(Class))
    WaitInOrder = std::min(WaitInOrder, UntilUrgent);
  size_t ClassCount = countActiveClasses() + (Class.Queue.empty() ? 1 : 0);
  double TotalStarts = totalRecentStarts();
  double Share =
      std::max(1 / static_cast<double>(ClassCount),
               TotalStarts > 0 ? Class.RecentStarts / TotalStarts : 0);
  Micros WaitAtShare = waitBehind(Class.Queue.size(), StartsPerSecond * Share);
  return std::max(WaitInOrder, WaitAtShare);
}

/// Removes and returns the newest request of the longest class queue, if
/// \p Class has less than an equal part of the queue and is not over its share
/// of starts.
std::optional<QueuedRequest> RequestQueue::evictFor(uint32_t Class) {
  size_t ClassCount =
      countActiveClasses() + (Classes[Class].Queue.empty() ? 1 : 0);
  if (Classes[Class].Queue.size() >= MaxWaiting / ClassCount ||
      isOverShare(Classes[Class]))
    return std::nullopt;
  auto Fullest =
      std::max_element(Classes.begin(), Classes.end(),
                       [](const ClassState &Left, const ClassState &Right) {
                         return Left.Queue.size() < Right.Queue.size();
                       });
  QueuedRequest Evicted = Fullest->Queue.back();
  Fullest->Queue.pop_back();
  --Waiting;
  return Evicted;
}

AdmissionDecision RequestQueue::admit(const QueuedRequest &Request,
                                      double StartsPerSecond, TimePoint Now) {
  ClassState &Class = Classes[Request.Class];
  AdmissionDecision Decision;
  Decision.ExpectedWait = expectedWait(Request, StartsPerSecond);
  Micros AllowedWait =
      std::min(Class.Target * AdmissiblePercent / 100, Request.Deadline - Now);
  if (Decision.ExpectedWait > AllowedWait) {
    Decision.Outcome = AdmissionOutcome::WouldMissTarget;
    return Decision;
  }
  if (Waiting >= MaxWaiting) {
    Decision.Evicted = evictFor(Request.Class);
    if (!Decision.Evicted) {
      Decision.Outcome = AdmissionOutcome::QueueFull;
      return Decision;
    }
  }
  Class.Queue.push_back(Request);
  ++Waiting;
  return Decision;
}

void RequestQueue::decayRecentStarts(TimePoint Now) {
  double ElapsedSeconds = toSeconds(Now - LastDecay);
  if (ElapsedSeconds <= 0)
    return;
  LastDecay = Now;
  double KeptFactor = std::exp2(-ElapsedSeconds / ShareHalfLifeSeconds);
  for (ClassState &Class : Classes)
    Class.RecentStarts *= KeptFactor;
}

double RequestQueue::totalRecentStarts() const {
  double Sum = 0;
  for (const ClassState &Class : Classes)
    Sum += Class.RecentStarts;
  return Sum;
}

bool RequestQueue::isOverShare(const ClassState &Class) const {
  size_t ClassCount = countActiveClasses() + (Class.Queue.empty() ? 1 : 0);
  double EqualShare = totalRecentStarts() / static_cast<double>(ClassCount);
  return Class.RecentStarts > EqualShare * ShareTolerance;
}

RequestQueue::ClassState *RequestQueue::pickClass(TimePoint Now) {
  ClassState *Earliest = nullptr;
  ClassState *Entitled = nullptr;
  for (ClassState &Class : Classes) {
    if (Class.Queue.empty())
      continue;
    if (!Earliest || Class.dueAt() < Earliest->dueAt())
      Earliest = &Class;
    bool AlmostDue = Class.dueAt() - Class.Target / UrgentSlackDivisor <= Now;
    bool QueueCrowded = Class.Queue.size() > MaxWaiting / (2 * Classes.size());
    bool Urgent = AlmostDue || QueueCrowded;
    if (Urgent && !isOverShare(Class) &&
        (!Entitled || Class.dueAt() < Entitled->dueAt()))
      Entitled = &Class;
  }
  return Earliest && Entitled && isOverShare(*Earliest) ? Entitled : Earliest;
}

std::optional<QueuedRequest> RequestQueue::takeNext(TimePoint Now) {
  decayRecentStarts(Now);
  ClassState *Class = pickClass(Now);
  if (!Class)
    return std::nullopt;
  QueuedRequest Request = Class->Queue.front();
  Class->Queue.pop_front();
  Class->RecentStarts += 1;
  --Waiting;
  return Request;
}

std::vector<QueuedRequest> RequestQueue::drain() {
  std::vector<QueuedRequest> Drained;
  for (ClassState &Class : Classes) {
    Drained.insert(Drained.end(), Class.Queue.begin(), Class.Queue.end());
    Class.Queue.clear();
  }
  Waiting = 0;
  std::sort(Drained.begin(), Drained.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Arrived < Right.Arrived;
            });
  return Drained;
}

void RequestQueue::enqueueAdmitted(const QueuedRequest &Request) {
  Classes[Request.Class].Queue.push_back(Request);
  ++Waiting;
}

void RequestQueue::putBack(const QueuedRequest &Request) {
  ClassState &Class = Classes[Request.Class];
  Class.Queue.push_front(Request);
  Class.RecentStarts = std::max(0.0, Class.RecentStarts - 1);
  ++Waiting;
}

void RequestQueue::removeExpired(
    TimePoint Now,
    const std::function<void(const QueuedRequest &)> &OnRemoved) {
  for (ClassState &Class : Classes) {
    Micros MaxWait = Class.Target * MaxWaitFactor;
    std::erase_if(Class.Queue, [&](const QueuedRequest &Queued) {
      bool IsExpired = Now >= Queued.Deadline || Now - Queued.Arrived > MaxWait;
      if (IsExpired) {
        --Waiting;
        OnRemoved(Queued);
      }
      return IsExpired;
    });
  }
}

} // namespace daisylanding::policy
