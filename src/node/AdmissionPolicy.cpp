#include "node/AdmissionPolicy.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace daisylanding::node {

namespace {

/// Part of the time by which retries are spread.
constexpr double SpreadShare = 0.5;
/// After this many refusals of late, the time is twice as long.
constexpr double RefusalsPerExtension = 50;
constexpr double MaxExtension = 4;
/// A refusal counts for less by a factor e after this time.
constexpr Millis RefusalMemory{10'000};

/// A number from 0 to 1, the same for all copies of a job.
double spreadOf(std::string_view JobId) {
  return static_cast<double>(XXH3_64bits(JobId.data(), JobId.size())) /
         std::pow(2.0, 64);
}

Millis scaled(Millis Time, double Factor) {
  return Millis(
      static_cast<int64_t>(Factor * static_cast<double>(Time.count())));
}

} // namespace

/// How many jobs of the workspace were refused of late, without this one.
double AdmissionPolicy::countRefusal(std::string_view Workspace,
                                     TimePoint Now) {
  auto Found = ByWorkspace.find(Workspace);
  if (Found == ByWorkspace.end()) {
    if (ByWorkspace.size() >= MaxWorkspaces)
      ByWorkspace.erase(
          std::min_element(ByWorkspace.begin(), ByWorkspace.end(),
                           [](const auto &Left, const auto &Right) {
                             return Left.second.At < Right.second.At;
                           }));
    Found = ByWorkspace.emplace(Workspace, Refusals{.At = Now}).first;
  }
  Refusals &Known = Found->second;
  double Elapsed = toSeconds(Now - Known.At) / toSeconds(Micros(RefusalMemory));
  double Before = Known.Count * std::exp(-Elapsed);
  Known = {.Count = Before + 1, .At = Now};
  return Before;
}

RetryAdvice AdmissionPolicy::onRefused(const RefusedJob &Job,
                                       const cell::BacklogStatement &Statement,
                                       int64_t StoreClockMs, TimePoint Now) {
  RetryAdvice Advice;
  Millis Base = UnstatedBacklog;
  Millis Age(std::max<int64_t>(0, StoreClockMs - Statement.AtMs));
  const cell::QueueBacklog *Stated = Statement.find(Job.Queue, Job.Workspace);
  if (Stated && Age <= MaxStatementAge) {
    Advice.Backlog = Millis(std::chrono::seconds(Stated->WaitSeconds));
    Advice.Age = Age;
    Base = std::max(MinRetryAfter, Advice.Backlog - Age);
  }
  double Extension =
      std::min(MaxExtension,
               1 + countRefusal(Job.Workspace, Now) / RefusalsPerExtension);
  double Factor = Extension * (1 + SpreadShare * spreadOf(Job.Id));
  Advice.After = std::clamp(scaled(Base, Factor), MinRetryAfter, MaxRetryAfter);
  return Advice;
}

} // namespace daisylanding::node
