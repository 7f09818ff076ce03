#include "policy/RequestQueue.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::policy {

namespace {

/// Half of a class's recent starts are forgotten after this time.
constexpr double ShareHalfLifeSeconds = 2;

/// A class counts as over its share from this multiple of it.
constexpr double ShareTolerance = 1.1;

/// A queued request is given up at this multiple of its waiting target.
constexpr int64_t GiveUpFactor = 3;

Micros waitFor(size_t Ahead, double StartsPerSecond) {
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
    ClassState &Each = Classes.emplace_back();
    Each.Target = Target;
  }
}

/// How many queued requests would start before \p Request does.
size_t RequestQueue::aheadOf(const QueuedRequest &Request) const {
  TimePoint Due = Request.Arrived + Classes[Request.Class].Target;
  size_t Ahead = 0;
  for (const ClassState &Each : Classes) {
    TimePoint LatestArrival = Due - Each.Target;
    auto IsEarlier = [&](const QueuedRequest &Queued) {
      return Queued.Arrived <= LatestArrival;
    };
    auto End =
        std::partition_point(Each.Queue.begin(), Each.Queue.end(), IsEarlier);
    Ahead += End - Each.Queue.begin();
  }
  return Ahead;
}

AdmissionAnswer RequestQueue::admit(const QueuedRequest &Request,
                                    double StartsPerSecond, TimePoint Now) {
  ClassState &Class = Classes[Request.Class];
  Micros Wait = waitFor(aheadOf(Request), StartsPerSecond);
  if (Waiting >= MaxWaiting)
    return {Admission::QueueFull, Wait};
  Micros Allowed = std::min(Class.Target, Request.Deadline - Now);
  if (Wait > Allowed)
    return {Admission::WouldMissTarget, Wait};
  Class.Queue.push_back(Request);
  ++Waiting;
  return {Admission::Admitted, Wait};
}

void RequestQueue::decay(TimePoint Now) {
  double Elapsed = toSeconds(Now - LastDecay);
  if (Elapsed <= 0)
    return;
  LastDecay = Now;
  double Kept = std::exp2(-Elapsed / ShareHalfLifeSeconds);
  for (ClassState &Each : Classes)
    Each.RecentStarts *= Kept;
}

bool RequestQueue::overShare(const ClassState &Each, double Fair) const {
  return Each.RecentStarts > Fair * ShareTolerance;
}

RequestQueue::ClassState *RequestQueue::pick(TimePoint Now) {
  double Total = 0;
  size_t Active = 0;
  for (const ClassState &Each : Classes) {
    Total += Each.RecentStarts;
    Active += !Each.Queue.empty();
  }
  double Fair = Active ? Total / static_cast<double>(Active) : 0;
  ClassState *Earliest = nullptr;
  ClassState *Entitled = nullptr;
  for (ClassState &Each : Classes) {
    if (Each.Queue.empty())
      continue;
    if (!Earliest || Each.due() < Earliest->due())
      Earliest = &Each;
    bool Late = Each.due() <= Now;
    if (Late && !overShare(Each, Fair) &&
        (!Entitled || Each.due() < Entitled->due()))
      Entitled = &Each;
  }
  return Entitled ? Entitled : Earliest;
}

std::optional<QueuedRequest> RequestQueue::next(TimePoint Now) {
  decay(Now);
  ClassState *Class = pick(Now);
  if (!Class)
    return std::nullopt;
  QueuedRequest Taken = Class->Queue.front();
  Class->Queue.pop_front();
  Class->RecentStarts += 1;
  --Waiting;
  return Taken;
}

std::vector<QueuedRequest> RequestQueue::drain() {
  std::vector<QueuedRequest> Out;
  for (ClassState &Each : Classes) {
    Out.insert(Out.end(), Each.Queue.begin(), Each.Queue.end());
    Each.Queue.clear();
  }
  Waiting = 0;
  std::sort(Out.begin(), Out.end(), [](const auto &Left, const auto &Right) {
    return Left.Arrived < Right.Arrived;
  });
  return Out;
}

void RequestQueue::restore(const QueuedRequest &Request) {
  Classes[Request.Class].Queue.push_back(Request);
  ++Waiting;
}

void RequestQueue::putBack(const QueuedRequest &Request) {
  ClassState &Class = Classes[Request.Class];
  Class.Queue.push_front(Request);
  Class.RecentStarts = std::max(0.0, Class.RecentStarts - 1);
  ++Waiting;
}

void RequestQueue::expire(
    TimePoint Now, const std::function<void(const QueuedRequest &)> &GivenUp) {
  for (ClassState &Each : Classes) {
    Micros Longest = Each.Target * GiveUpFactor;
    std::erase_if(Each.Queue, [&](const QueuedRequest &Queued) {
      bool Over = Now >= Queued.Deadline || Now - Queued.Arrived > Longest;
      if (Over) {
        --Waiting;
        GivenUp(Queued);
      }
      return Over;
    });
  }
}

} // namespace daisylanding::policy
