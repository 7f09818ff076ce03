#ifndef DAISYLANDING_REVIEW_TRIAL_H
#define DAISYLANDING_REVIEW_TRIAL_H

#include "harness/Process.h"
#include "http/Client.h"
#include "http/Server.h"
#include "standin/CellPlatform.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// What the cases of the second review share: a small deployment of real
/// entries beside the project's stand-in for the platform, and a record of
/// what was sent, answered and run.
namespace review {

using namespace daisylanding;
using nlohmann::json;

/// Exit codes of a case.
enum : int { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Lines of JSON, one for each event, with the time since the begin.
class Record {
public:
  explicit Record(const std::string &File);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  void add(const std::string &Event, json Fields);

private:
  std::mutex Mutex;
  std::FILE *Output = nullptr;
  TimePoint BeganAt;
};

/// An executor as its entry in the instance list describes it.
struct ExecutorEntry {
  std::string Id;
  std::string Label;
  uint32_t MilliCores = 0;
  int64_t BornMs = 0;
};

/// The project's stand-in, in front of which some executors misbehave.
class TrialPlatform final : public http::Handler {
public:
  TrialPlatform(standin::CellPlatform &Inner, Record &Events)
      : Inner(Inner), Events(Events) {}

  void handle(http::Request Incoming, http::Responder Respond) override;

  /// From now on the executor answers starts with 503 and does nothing, or no
  /// longer does so.
  void setUnhealthy(const std::string &Executor, bool IsUnhealthy);
  /// From now on the executor's answers state this start time.
  void setBorn(const std::string &Executor, int64_t BornMs);

  /// The next start, at whichever executor it arrives, is kept and not
  /// answered, and that executor is cut off with it.
  void keepNextStart();
  /// The executor that is cut off; empty before.
  std::string cutExecutor() const;
  void endCut();
  /// The executor carries out the start that was kept. Its lease is shortened
  /// to one of \p MaxLease from \p ClockMs, the executor's clock.
  void carryOutKeptStart(int64_t ClockMs, Millis MaxLease);

  /// Jobs of which an executor has begun a task.
  std::set<std::string> begunJobs() const;
  /// Starts that executors have carried out, by task.
  std::map<std::string, int> starts() const;

private:
  void noteStart(const std::string &Executor, const std::string &Task,
                 uint16_t Status);

  /// Whether the call is to be left without an answer.
  bool isSwallowed(const http::Request &Incoming, const std::string &Executor);

  standin::CellPlatform &Inner;
  Record &Events;
  mutable std::mutex Mutex;
  bool KeepsNextStart = false;
  std::optional<http::Request> KeptStart;
  std::string Cut;
  /// Calls without an answer; their connections stay open.
  std::vector<http::Responder> Unanswered;
  std::set<std::string> Unhealthy;
  std::map<std::string, int64_t> Born;
  std::map<std::string, int> Starts;
};

/// The deployment: the platform, and entries as separate processes.
class Trial {
public:
  /// \p Folder is the case's, in which `record.txt` is written.
  Trial(const std::string &Folder, size_t EntryCount);
  ~Trial();

  /// Serves the platform. Returns false if that is not possible.
  bool startPlatform();
  /// Stores the configuration: service `s` with the queue `q`.
  void configure(bool WithAdvice = true);
  /// Adds an executor that is up. To be called before the entries start.
  void addExecutor(const ExecutorEntry &Entry);
  /// Makes an executor known to the stand-in that starts later, and is not
  /// listed before. To be called before the entries start.
  void prepareExecutor(const std::string &Id, uint32_t MilliCores);
  /// The executor starts, knows nothing of before, and lists itself.
  void beginLife(const ExecutorEntry &Entry);
  /// Stores the entry of an executor, as the executor itself would.
  void listExecutor(const ExecutorEntry &Entry);
  /// Removes the entry of an executor that has been silent for too long.
  void unlistExecutor(const std::string &Id);
  void startEntry(size_t Index);
  /// Whether the entry tells the balancer that it is ready.
  bool isReady(size_t Index);
  bool waitUntilReady(Millis Timeout);
  /// The entry that owns the service, by the row that it last wrote.
  std::optional<size_t> ownerIndex() const;
  harness::Process &entry(size_t Index) { return Entries[Index]; }
  size_t entryCount() const { return Entries.size(); }

  /// Sends a caller's request. 0 if there was no answer.
  uint16_t call(size_t Entry, const std::string &Method,
                const std::string &JobId, const std::string &Body,
                std::string &Answer);

  Record Events;
  standin::CellPlatform Inner;
  TrialPlatform Platform;

private:
  std::string address(uint16_t Port) const;

  std::string WorkFolder; ///< Of settings and logs; temporary.
  uint16_t PlatformPort = 0;
  std::vector<uint16_t> Ports; ///< Four of each entry.
  std::optional<http::Server> Server;
  std::vector<harness::Process> Entries;
  http::Client Client;
};

/// Whether the case is to run with its disruption.
bool withTrouble();
/// The body of a job of one step.
std::string jobBody(uint32_t Tasks, uint32_t MilliCores, int64_t EstimateMs,
                    const std::string &Label);
std::string jobId(size_t Number);
int64_t wallMs();

} // namespace review

#endif
