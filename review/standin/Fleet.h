#ifndef DAISYLANDING_REVIEW_FLEET_H
#define DAISYLANDING_REVIEW_FLEET_H

#include "Store.h"
#include "common/Thread.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisylanding::review {

/// What the tasks of one step do; the executors know it by the job's id.
struct Work {
  uint32_t Count = 1;
  uint32_t MilliCores = 500;
  Millis Duration{200};
  bool Gang = false;
  bool Checkpointing = false;
  bool LongRunning = false; ///< Ends by `failRuns`, or a stop.
  uint32_t FailingRuns = 0; ///< Each task's first runs fail at their end.
};

/// A start that an executor has carried out.
struct StartEvent {
  TimePoint At{};
  std::string Executor;
  std::string Service;
  std::string Task;
  uint32_t Run = 0;
  std::string Checkpoint;
};

/// The end of a run.
struct EndEvent {
  TimePoint At{};
  std::string Executor;
  std::string Task;
  uint32_t Run = 0;
  std::string How;
  std::string Saved;
  std::optional<TimePoint> TakenNoteAt; ///< `last-seen` has reached it then.
};

struct ExecutorSettings {
  std::string Id;
  std::string Service;
  std::string Kind = "a"; ///< The first of its labels.
  uint16_t Port = 0;
  uint32_t MilliCores = 16'000;
};

class Fleet;

/// Executors have been up for this long when a play begins.
constexpr Millis UpTime{480'000};

/// One executor, with a server of its own. Starts what it is told to start.
class Executor final : public http::Handler {
public:
  Executor(Fleet &Parent, ExecutorSettings Settings)
      : Parent(Parent), Settings(std::move(Settings)) {}

  void handle(http::Request Request, http::Responder Respond) override;

private:
  friend class Fleet;
  using Json = nlohmann::json;

  struct Run {
    uint32_t Id = 0;
    TimePoint StartedAt{};
    bool IsAtWork = false;
    bool IsFailing = false; ///< Its executor was grey when it began.
    Micros Base{0};     ///< Progress of the checkpoint that it resumed from.
    Micros Progress{0}; ///< With `Base`.
    std::string Saved;
  };
  struct WaitingHold {
    TimePoint Until{};
    http::Responder Respond;
  };

  int64_t clockMs(TimePoint Now) const { return toMillis(Now - BornAt); }
  Json stamped(Json Body) const;
  void start(const Json &Body, const http::Responder &Respond);
  void stop(const Json &Body, const http::Responder &Respond);
  void hold(const Json &Body, http::Responder Respond);
  void extendLease(const Json &Body);
  void endRun(const std::string &Task, const char *How);
  Json lists() const;
  Json document() const;

  Fleet &Parent;
  ExecutorSettings Settings;
  TimePoint BornAt = monotonicNow() - UpTime;
  int64_t BornMs = wallMicros() / 1'000 - UpTime.count();
  bool IsUp = true;
  bool IsCutOff = false;
  std::optional<Millis> GrantDelay; ///< Of the next renewal with a lease.
  std::optional<std::pair<TimePoint, Json>> DelayedGrant;
  bool IsGrey = false; ///< Fails what it starts.
  uint64_t Token = 0;
  int64_t LeaseEndMs = 0;
  std::map<std::string, Run> Runs;
  std::map<std::string, uint32_t> LastOver; ///< Highest run ended or stopped.
  Json Ends = Json::array();
  std::vector<size_t> EndEvents; ///< Of each end, by its number.
  std::vector<WaitingHold> Holds;
  std::unique_ptr<http::Server> Server;
};

/// All executors, and the history of what they ran.
class Fleet {
public:
  Fleet(Store &Rows, Record &Log);
  ~Fleet();

  bool add(ExecutorSettings Settings);
  void setWork(const std::string &JobId, uint32_t Step, Work What);
  /// The executor crashes: it runs nothing, answers nothing and doesn't return.
  void crash(const std::string &Id);
  /// The executor crashes, and starts again under its id.
  void restart(const std::string &Id);
  /// Whether the executor is cut off: calls don't reach it, but it runs on.
  void cutOff(const std::string &Id, bool IsCutOff);
  /// The next renewal that grants a lease there gets no answer, and is carried
  /// out \p Delay later.
  void delayNextGrant(const std::string &Id, Millis Delay);
  /// Whether the delayed renewal has been carried out.
  bool isDelayedGrantDone() const;
  /// Whether the executor fails what it starts.
  void setGrey(const std::string &Id, bool IsGrey);
  /// The runs of the job's tasks fail.
  void failRuns(const std::string &JobId);

  std::vector<StartEvent> starts() const;
  std::vector<EndEvent> ends() const;
  /// Executors of the runs of a step that are at work, in order of the tasks.
  std::vector<std::string> executorsOf(const std::string &JobId,
                                       uint32_t Step) const;
  /// How long the step's runs have worked since they began or resumed.
  std::optional<Millis> workedFor(const std::string &JobId,
                                  uint32_t Step) const;
  /// Whether a task of the job runs anywhere.
  bool runsTaskOf(const std::string &JobId) const;
  /// Share of the cores of the executors that are up that is in use.
  double usedShare() const;

private:
  friend class Executor;

  const Work &workOf(const std::string &Task) const;
  void save(const std::string &Task, Executor::Run &Run, Micros Progress) const;
  void advance(TimePoint Now);
  void advanceExecutor(Executor &One, TimePoint Now);
  void advanceGangs(TimePoint Now);
  void answerHolds(Executor &One, TimePoint Now);
  void heartbeat();

  Store &Rows;
  Record &Log;
  mutable std::mutex Mutex;
  std::map<std::string, Work> WorkByStep; ///< By ID.STEP.
  std::map<std::string, std::unique_ptr<Executor>> Executors;
  std::vector<StartEvent> Starts;
  std::vector<EndEvent> EndsSeen;
  std::set<std::string> WholeGangs; ///< Runs whose members were all present.
  bool DelayedGrantDone = false;
  TimePoint AdvancedAt{};
  TimePoint NextHeartbeat{};
  uint64_t Beats = 0;
  Thread Clock;
};

} // namespace daisylanding::review

#endif
