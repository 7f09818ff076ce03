#ifndef DAISYLANDING_TESTS_UNIT_ATTEMPTCHECK_H
#define DAISYLANDING_TESTS_UNIT_ATTEMPTCHECK_H

#include "common/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisylanding::cellsim {

/// Follows the failed runs of each task, or of each gang, for the check that
/// nothing is started after as many runs as are allowed have failed. A unit is
/// the name of a task, or of the step that is a gang.
class AttemptCheck {
public:
  explicit AttemptCheck(size_t MaxAttempts) : MaxAttempts(MaxAttempts) {}

  /// The members of a gang fail with the first of them.
  void onFailed(const std::string &Unit, uint32_t Run, TimePoint At) {
    Failed[Unit].emplace(Run, At);
  }
  /// The end is acknowledged, and the executor's lease has not expired since
  /// that end.
  void onAcknowledged(const std::string &Unit, uint32_t Run) {
    Acknowledged[Unit].insert(Run);
  }
  void onStarted(const std::string &Unit, TimePoint At) {
    LastStarts[Unit] = At;
  }
  void onHeard(const void *Owner, const std::string &Unit, uint32_t Run) {
    Heard[{Owner, Unit}].insert(Run);
  }

  /// Whether a start came after the last allowed failure, if all of these are
  /// acknowledged by now.
  bool isExceeded(const std::string &Unit) const {
    auto Runs = Acknowledged.find(Unit);
    auto LastStart = LastStarts.find(Unit);
    if (Runs == Acknowledged.end() || Runs->second.size() < MaxAttempts ||
        LastStart == LastStarts.end())
      return false;
    std::vector<TimePoint> Ends;
    for (uint32_t Run : Runs->second)
      Ends.push_back(Failed.at(Unit).at(Run));
    std::sort(Ends.begin(), Ends.end());
    return LastStart->second > Ends[MaxAttempts - 1];
  }
  /// Whether the owner has heard that nothing more may be started.
  bool hasHeardLastAttempt(const void *Owner, const std::string &Unit) const {
    auto Runs = Heard.find({Owner, Unit});
    return Runs != Heard.end() && Runs->second.size() >= MaxAttempts;
  }
  /// Whether one of the job's units has no attempt left.
  bool mayFail(const std::string &JobId) const {
    return std::any_of(Failed.begin(), Failed.end(), [&](const auto &Entry) {
      return Entry.first.starts_with(JobId + ".") &&
             Entry.second.size() >= MaxAttempts;
    });
  }

private:
  size_t MaxAttempts;
  std::map<std::string, std::map<uint32_t, TimePoint>> Failed;
  std::map<std::string, std::set<uint32_t>> Acknowledged;
  std::map<std::string, TimePoint> LastStarts;
  std::map<std::pair<const void *, std::string>, std::set<uint32_t>> Heard;
};

} // namespace daisylanding::cellsim

#endif
