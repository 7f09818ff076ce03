#ifndef DAISYLANDING_CELL_SENDRATE_H
#define DAISYLANDING_CELL_SENDRATE_H

#include "common/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// Rate limit of each workspace: a token bucket for the jobs that it sends.
/// Jobs beyond it are accepted, and done after those of others. No I/O.
namespace daisylanding::cell {

class SendRate {
public:
  /// What a workspace may send at once after a pause, as time at its rate.
  static constexpr Millis Burst{3'000};
  /// Workspaces that are known at a time.
  static constexpr size_t MaxBuckets = 2'000;

  /// Whether a job that arrives at \p At is within the rate.
  bool mayTake(std::string_view Workspace, uint32_t JobsPerSecond,
               TimePoint At) const;
  /// The same, and counts the job if it is. A job that is older than the last
  /// one counted adds no time.
  bool take(std::string_view Workspace, uint32_t JobsPerSecond, TimePoint At);
  /// Takes back a job that was counted and is not accepted after all.
  void giveBack(std::string_view Workspace);

  size_t size() const { return Buckets.size(); }

private:
  struct Bucket {
    double Spent = 0; ///< Jobs of the burst that are used.
    TimePoint At{};
  };

  static double spentAt(const Bucket &Used, uint32_t JobsPerSecond,
                        TimePoint At);
  void dropLeastUsed();

  std::map<std::string, Bucket, std::less<>> Buckets;
};

} // namespace daisylanding::cell

#endif
