#include "cell/SendRate.h"

#include <algorithm>

namespace daisylanding::cell {

namespace {

double burstOf(uint32_t JobsPerSecond) {
  return std::max(1.0, JobsPerSecond * toSeconds(Micros(SendRate::Burst)));
}

} // namespace

double SendRate::spentAt(const Bucket &Used, uint32_t JobsPerSecond,
                         TimePoint At) {
  double Seconds = std::max(0.0, toSeconds(At - Used.At));
  return std::max(0.0, Used.Spent - Seconds * JobsPerSecond);
}

bool SendRate::mayTake(std::string_view Workspace, uint32_t JobsPerSecond,
                       TimePoint At) const {
  auto Found = Buckets.find(Workspace);
  return Found == Buckets.end() ||
         spentAt(Found->second, JobsPerSecond, At) + 1 <=
             burstOf(JobsPerSecond);
}

bool SendRate::take(std::string_view Workspace, uint32_t JobsPerSecond,
                    TimePoint At) {
  if (!mayTake(Workspace, JobsPerSecond, At))
    return false;
  auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end()) {
    if (Buckets.size() >= MaxBuckets)
      dropLeastUsed();
    Found = Buckets.emplace(Workspace, Bucket{.At = At}).first;
  }
  Bucket &Used = Found->second;
  Used.Spent = spentAt(Used, JobsPerSecond, At) + 1;
  Used.At = std::max(Used.At, At);
  return true;
}

void SendRate::giveBack(std::string_view Workspace) {
  auto Found = Buckets.find(Workspace);
  if (Found != Buckets.end())
    Found->second.Spent = std::max(0.0, Found->second.Spent - 1);
}

/// The bucket that was used longest ago has refilled most.
void SendRate::dropLeastUsed() {
  auto Oldest = std::min_element(Buckets.begin(), Buckets.end(),
                                 [](const auto &Left, const auto &Right) {
                                   return Left.second.At < Right.second.At;
                                 });
  Buckets.erase(Oldest);
}

} // namespace daisylanding::cell
