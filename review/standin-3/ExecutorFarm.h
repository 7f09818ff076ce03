#ifndef DAISYLANDING_REVIEW_STANDIN3_EXECUTORFARM_H
#define DAISYLANDING_REVIEW_STANDIN3_EXECUTORFARM_H

#include "http/Server.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace daisylanding::review {

/// Executors behind one address, as the protocol describes them: leases on
/// their own clocks, fencing tokens, starts, stops, and lists of what runs and
/// what has ended. Runs end when the test says so, or with their lease. The
/// members of a gang end together.
class ExecutorFarm final : public http::Handler {
public:
  using Record = std::function<void(const std::string &)>;

  /// \p Write gets a line for each start, stop and end.
  explicit ExecutorFarm(Record Write);
  ~ExecutorFarm() override;

  void add(const std::string &Id, int64_t BornMs);
  /// Answers the calls that wait, and takes no more. To be called before the
  /// server that sends the answers is destroyed.
  void shutDown();
  void handle(http::Request Request, http::Responder Respond) override;

  /// Ends the open runs of a job as \p How, all at one moment. Returns their
  /// number.
  size_t endRuns(const std::string &JobId, const std::string &How);
  size_t openRuns(const std::string &JobId) const;
  /// Time since the job last had an open run; 0 if it has one.
  Millis idleTime(const std::string &JobId) const;

private:
  using Json = nlohmann::json;

  struct Run {
    uint32_t Number = 0;
    TimePoint StartedAt{};
  };
  struct Hold {
    http::Responder Respond;
    TimePoint AnswerAt{};
  };
  struct Executor {
    std::string Id;
    int64_t BornMs = 0;
    TimePoint StartedAt{};
    uint64_t FencingToken = 0;
    int64_t LeaseEndMs = 0;
    uint64_t EndCount = 0;
    std::map<std::string, Run> Running;           ///< By task.
    std::map<std::string, uint32_t> HighestEnded; ///< Run by task.
    Json Finished = Json::array();
    std::vector<Hold> Holds;

    int64_t clockMs(TimePoint Now) const { return toMillis(Now - StartedAt); }
  };

  void start(Executor &Called, const Json &Body,
             const http::Responder &Respond);
  void stop(Executor &Called, const Json &Body, const http::Responder &Respond);
  void hold(Executor &Called, const Json &Body, http::Responder Respond);
  bool isFenced(Executor &Called, const Json &Body,
                const http::Responder &Respond);
  void extendLease(Executor &Called, const Json &Body, TimePoint Now);
  void endRun(Executor &Ended, const std::string &Task, const std::string &How);
  void answerHolds(Executor &Asked, bool HasNews, TimePoint Now);
  void tick();
  void answer(const http::Responder &Respond, uint16_t Status, Json Body,
              const Executor &Called) const;

  Record Write;
  mutable std::mutex Mutex;
  std::map<std::string, Executor> Executors;
  std::map<std::string, TimePoint> LastOpenAt; ///< By job.
  std::atomic<bool> Stopping{false};           ///< Set once.
  std::thread Ticker;
};

} // namespace daisylanding::review

#endif
