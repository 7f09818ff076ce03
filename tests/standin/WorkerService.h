#ifndef DAISYLANDING_TESTS_STANDIN_WORKERSERVICE_H
#define DAISYLANDING_TESTS_STANDIN_WORKERSERVICE_H

#include "http/Server.h"
#include "standin/DelayQueue.h"
#include "standin/History.h"
#include "worker/Protocol.h"

#include <map>
#include <mutex>
#include <optional>

namespace daisylanding::standin {

/// A worker's attempts and lease, without network I/O.
class WorkerModel {
public:
  explicit WorkerModel(std::string Name, std::string Boot)
      : Name(std::move(Name)), Boot(std::move(Boot)) {}

  /// Applies a sync and returns the report, or nothing when the sync is older
  /// than one of its shard that was already applied.
  std::optional<worker::SyncReport> sync(const worker::SyncRequest &Request,
                                         TimePoint Now, History &HistoryLog);
  /// Ends attempts whose run time is over or whose lease has expired. Called
  /// first after a pause, since both may have happened meanwhile.
  void advance(TimePoint Now, History &HistoryLog);

  bool FailAllAttempts = false;
  double RunTimeFactor = 1;       ///< Actual over declared run time.
  double UsageFactor = 1;         ///< Actual usage over declared size.
  uint32_t ThrottlePercent = 100; ///< From the last sync.

private:
  struct RunningAttempt {
    table::Resources Size;
    TimePoint StartTime;
    std::optional<TimePoint> EndTime;
    bool Leased = false;
  };

  table::Resources usageOf(const RunningAttempt &Attempt) const;
  void applyCommands(const worker::SyncRequest &Request, TimePoint Now,
                     History &HistoryLog);
  void startAttempt(const worker::StartCommand &Command, TimePoint Now,
                    History &HistoryLog);
  void endAttempt(const worker::AttemptId &Id, worker::AttemptResult Result,
                  TimePoint Now, History &HistoryLog);

  std::string Name;
  std::string Boot;
  /// The highest (epoch, sequence) applied, by shard.
  std::map<std::string, std::pair<uint64_t, uint64_t>> LatestSyncs;
  std::map<worker::AttemptId, RunningAttempt> RunningAttempts;
  std::map<worker::AttemptId, worker::EndedReport> EndedAttempts;
  TimePoint LeaseExpiry{};
};

struct WorkerOptions {
  std::string NamePrefix;
  std::string HistoryFile;
  uint32_t Count = 1; ///< Workers served by this process.
};

/// Serves workers at /w0, /w1, ... Accepts faults at /control/faults: worker,
/// failing, run_time_factor.
class WorkerService final : public http::Handler {
public:
  explicit WorkerService(WorkerOptions Options);
  void handle(http::Request Request, http::Responder Responder) override;

private:
  http::Response handleRequest(const http::Request &Request);
  http::Response setFaults(const http::Request &Request);
  void tick();

  std::mutex Mutex;
  History HistoryLog;
  std::map<std::string, WorkerModel> Workers;
  DelayQueue TickQueue;
};

} // namespace daisylanding::standin

#endif
