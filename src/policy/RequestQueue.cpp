#include "policy/RequestQueue.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::policy {

namespace {

/// Half of a class's recent starts are forgotten after this time.
constexpr double ShareHalfLifeSeconds = 2;

/// A class counts as over its share from this multiple of it.
constexpr double ShareTolerance = 1.1;

/// A class below its share goes first when only this part of its waiting
/// target is left.
constexpr int64_t PressingDivisor = 5;

/// The part of its waiting target that a request may be expected to wait, in
/// hundredths; the rest is for errors of the estimate.
constexpr int64_t AdmissiblePercent = 90;

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

size_t RequestQueue::activeClasses() const {
  return std::count_if(
      Classes.begin(), Classes.end(),
      [](const ClassState &Each) { return !Each.Queue.empty(); });
}

/// What is due earlier goes first. A class below its share waits for others
/// only until it is about to be late; and no class gets more starts than an
/// equal share of them or what it got lately.
Micros RequestQueue::expectedWait(const QueuedRequest &Request,
                                  double StartsPerSecond) const {
  const ClassState &Class = Classes[Request.Class];
  Micros InOrder = waitFor(aheadOf(Request), StartsPerSecond);
  Micros UntilPressing = Class.Target - Class.Target / PressingDivisor;
  if (!overShare(Class))
    InOrder = std::min(InOrder, UntilPressing);
  size_t Sharing = activeClasses() + (Class.Queue.empty() ? 1 : 0);
  double Total = recentStarts();
  double Share = std::max(1 / static_cast<double>(Sharing),
                          Total > 0 ? Class.RecentStarts / Total : 0);
  Micros AtShare = waitFor(Class.Queue.size(), StartsPerSecond * Share);
  return std::max(InOrder, AtShare);
}

/// Takes the newest request from the class that fills the queue most, if
/// \p For has less than an equal part of it and of the starts.
std::optional<QueuedRequest> RequestQueue::makeRoom(uint32_t For) {
  size_t Sharing = activeClasses() + (Classes[For].Queue.empty() ? 1 : 0);
  if (Classes[For].Queue.size() >= MaxWaiting / Sharing ||
      overShare(Classes[For]))
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

AdmissionAnswer RequestQueue::admit(const QueuedRequest &Request,
                                    double StartsPerSecond, TimePoint Now) {
  ClassState &Class = Classes[Request.Class];
  AdmissionAnswer Answer;
  Answer.ExpectedWait = expectedWait(Request, StartsPerSecond);
  Micros Allowed =
      std::min(Class.Target * AdmissiblePercent / 100, Request.Deadline - Now);
  if (Answer.ExpectedWait > Allowed) {
    Answer.Verdict = Admission::WouldMissTarget;
    return Answer;
  }
  if (Waiting >= MaxWaiting) {
    Answer.Evicted = makeRoom(Request.Class);
    if (!Answer.Evicted) {
      Answer.Verdict = Admission::QueueFull;
      return Answer;
    }
  }
  Class.Queue.push_back(Request);
  ++Waiting;
  return Answer;
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

double RequestQueue::recentStarts() const {
  double Sum = 0;
  for (const ClassState &Each : Classes)
    Sum += Each.RecentStarts;
  return Sum;
}

bool RequestQueue::overShare(const ClassState &Each) const {
  size_t Sharing = activeClasses() + (Each.Queue.empty() ? 1 : 0);
  double Fair = recentStarts() / static_cast<double>(Sharing);
  return Each.RecentStarts > Fair * ShareTolerance;
}

RequestQueue::ClassState *RequestQueue::pick(TimePoint Now) {
  ClassState *Earliest = nullptr;
  ClassState *Entitled = nullptr;
  for (ClassState &Each : Classes) {
    if (Each.Queue.empty())
      continue;
    if (!Earliest || Each.due() < Earliest->due())
      Earliest = &Each;
    bool Late = Each.due() - Each.Target / PressingDivisor <= Now;
    bool Crowded = Each.Queue.size() > MaxWaiting / (2 * Classes.size());
    bool Pressing = Late || Crowded;
    if (Pressing && !overShare(Each) &&
        (!Entitled || Each.due() < Entitled->due()))
      Entitled = &Each;
  }
  return Earliest && Entitled && overShare(*Earliest) ? Entitled : Earliest;
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
