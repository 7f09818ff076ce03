#ifndef DAISYLANDING_REVIEW_WATCHEDPLATFORM_H
#define DAISYLANDING_REVIEW_WATCHEDPLATFORM_H

#include "Cell.h"

#include "standin/CellPlatform.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace daisylanding::review {

/// The end of a run, as an executor lists it.
struct SeenEnd {
  std::string Task;
  uint32_t Run = 0;
  std::string How;
  TimePoint At{};
};

/// The project's stand-in for the platform, which lets runs of jobs whose
/// `spec` is "lasts" go on, and notes what its executors start and list.
class WatchedPlatform final : public http::Handler {
public:
  explicit WatchedPlatform(Record &Seen) : Seen(Seen) {}

  void handle(http::Request Request, http::Responder Respond) override;

  standin::CellPlatform &platform() { return Platform; }
  /// Of lasting tasks, in the order in which they were listed.
  std::vector<SeenEnd> ends() const;
  /// When each run of a lasting task began, by task and number.
  std::map<std::pair<std::string, uint32_t>, TimePoint> starts() const;

private:
  void noteStart(const std::pair<std::string, uint32_t> &Run,
                 const std::string &Executor);
  void noteLists(const std::string &Executor, const std::string &Body);

  static constexpr Millis ShortRun{250};
  static constexpr Millis LastingRun{3'600'000};
  static constexpr Millis MaxRenewalWait{2'000};

  Record &Seen;
  /// Taken after the platform's own, which holds while it answers.
  mutable std::mutex Mutex;
  standin::CellPlatform Platform;
  std::set<std::string> LastingTasks;
  std::map<std::pair<std::string, uint32_t>, TimePoint> Starts;
  std::set<std::pair<std::string, uint64_t>> KnownEnds;
  std::vector<SeenEnd> Ends;
};

} // namespace daisylanding::review

#endif
