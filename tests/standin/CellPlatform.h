#ifndef DAISYLANDING_TESTS_STANDIN_CELLPLATFORM_H
#define DAISYLANDING_TESTS_STANDIN_CELLPLATFORM_H

#include "http/Server.h"
#include "standin/DelayQueue.h"

#include <nlohmann/json.hpp>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// An in-memory fake of the users' platform that implements its published
/// protocol: the row store with conditional transactions and a change feed,
/// executors with leases and fencing tokens, and the policy service. All
/// executors share one address; a call names its executor in the header
/// X-Daisylanding-Expect-Instance.
namespace daisylanding::standin {

struct CellPlatformFaults {
  bool StoreUnavailable = false;  ///< Answers every call with 503.
  bool StoreUnresponsive = false; ///< Calls have no effect and no answer.
  /// Of ten transactions, this many are applied but not answered.
  uint32_t LostResponsesPerTen = 0;
  /// Of ten transactions, this many are applied a second late and not answered.
  uint32_t LateWritesPerTen = 0;
  Millis ReadTime{0}; ///< Of range reads.
  /// Transactions of a partition are processed one after the other, each for
  /// this long; while one waits, others are refused. 0 for at once.
  Millis TransactionTime{0};
  bool FeedHistoryGone = false; ///< Feeds are answered with 410.
  /// Range reads are answered at this rate; 0 for at once.
  uint32_t ReadBytesPerSecond = 0;
  std::string RefusedTable; ///< Range reads of it are answered with 503.
};

struct CellRunTimes {
  Millis RunDuration{250};
  /// Caps the wait that a renewal asks for.
  Millis MaxRenewalWait{100};
};

class CellPlatform final : public http::Handler {
public:
  CellPlatform() = default;

  void handle(http::Request Request, http::Responder Responder) override;

  /// Stores the configuration row: service `s` with the queue `/q/`, and
  /// \p FurtherQueues more, from `/q0/` on.
  void configure(uint64_t Version, bool WithAdvice, size_t FurtherQueues = 0);
  /// Stores the configuration row with one workspace `a` that has these keys,
  /// the queue `/q/`, and a public queue `/open/`.
  void configureKeys(uint64_t Version, const std::vector<std::string> &Keys);
  void addExecutor(const std::string &Id, const std::string &Address,
                   uint32_t MilliCores);
  /// Drops all runs of the executor and stops answering its calls. It stays
  /// listed.
  void killExecutor(const std::string &Id);
  /// The executor starts again under its id: it holds and knows nothing of
  /// before, and counts anew. Its row tells \p RowDelay later.
  void restartExecutor(const std::string &Id, Millis RowDelay);
  void setFaults(CellPlatformFaults NewFaults);
  /// Of runs and renewals that begin later.
  void setRunTimes(CellRunTimes NewTimes);
  /// Stores a row, as if an entry had written it.
  void putRow(const std::string &Table, const std::string &Part,
              const std::string &Key, const std::string &Value);
  /// The value of a row; empty if there is none.
  std::string rowValue(const std::string &Table, const std::string &Part,
                       const std::string &Key) const;

  /// Cancels delayed actions and pending feed requests. To be called before the
  /// server that sends the answers is destroyed.
  void shutDown();

  size_t runsStarted() const;
  /// Feed requests for the table that were answered with 410.
  size_t refusedFeeds(const std::string &Table) const;
  /// Violations of the protocol, and tasks that ran more than once.
  std::vector<std::string> violations() const;

private:
  using Json = nlohmann::json;

  struct StoredRow {
    std::string Value; ///< Base64, as received.
    uint64_t Version = 0;
    bool Deleted = false;
  };
  using RowKey = std::array<std::string, 3>; ///< Table, partition, key.

  struct Run {
    uint32_t Id = 0;
    TimePoint EndTime{};
  };

  struct ExecutorState {
    uint32_t MilliCores = 0;
    std::string Address;
    TimePoint StartedAt = monotonicNow(); ///< Its clock counts from here.
    int64_t BornMs = 0;                   ///< Of its start, in Unix ms.
    bool Killed = false;
    uint64_t FencingToken = 0;
    int64_t LeaseExpiryMs = 0;
    std::map<std::string, Run> RunsByTask;
    std::map<std::string, uint32_t> LastEndedRun; ///< Run id by task.
    /// Rows of sequence number, task, run id, end kind and checkpoint (empty).
    Json UnacknowledgedEnds = Json::array();
    uint64_t EndCount = 0;
  };

  struct FeedRequest {
    std::string Table;
    uint64_t AfterVersion = 0;
    http::Responder Responder;
    bool Answered = false;
  };

  void handleStoreCall(const http::Request &Request, http::Responder Responder);
  void handleRead(const http::Request &Request, http::Responder Responder);
  static bool isTaken(const Json &Body, size_t Bytes);
  void handleTransactionCall(const std::string &Text,
                             const http::Responder &Responder);
  void handleTransaction(const Json &Body, const http::Responder &Responder);
  void queueTransaction(const Json &Body, const http::Responder &Responder);
  Json applyTransaction(const Json &Body, bool &ConditionsMet);
  Json readRows(const http::Request &Request) const;
  void handleFeed(const http::Request &Request, http::Responder Responder);
  Json changedRows(const std::string &Table, uint64_t AfterVersion) const;
  void answerFeeds(const std::string &Table);
  void handleExecutorCall(const http::Request &Request,
                          http::Responder Responder);
  void startRun(ExecutorState &Executor, const Json &Body,
                const http::Responder &Responder);
  void stopRun(ExecutorState &Executor, const Json &Body,
               const http::Responder &Responder);
  void renewLeases(ExecutorState &Executor, const Json &Body,
                   http::Responder Responder);
  Micros renewalWait(const ExecutorState &Executor, Millis Requested) const;
  void handleAdviceCall(const Json &Body, http::Responder Responder);
  void advanceRuns(ExecutorState &Executor);
  void endRun(ExecutorState &Executor, const std::string &Task,
              const char *EndKind);
  static Json rowToJson(const RowKey &Key, const StoredRow &Row);
  static int64_t clockMs();
  static int64_t executorClockMs(const ExecutorState &Executor) {
    return toMillis(monotonicNow() - Executor.StartedAt);
  }
  void putConfig(const Json &Config);
  void putExecutorRow(const std::string &Id);
  static void sendJson(const http::Responder &Responder, uint16_t Status,
                       const Json &Body);

  mutable std::mutex Mutex;
  std::map<RowKey, StoredRow> Rows;
  uint64_t StoreVersion = 0;
  std::map<std::string, ExecutorState> Executors;
  std::vector<std::shared_ptr<FeedRequest>> PendingFeeds;
  CellPlatformFaults Faults;
  CellRunTimes Times;
  uint64_t WriteCount = 0;
  size_t RunsStarted = 0;
  std::map<std::string, size_t> RefusedFeeds; ///< By table.
  /// When the transactions of each partition will have been processed.
  std::map<std::string, TimePoint> PartitionIdleAt;
  std::map<std::string, bool> AcknowledgedTasks;
  std::vector<std::string> Violations;
  std::unique_ptr<DelayQueue> DelayedActions = std::make_unique<DelayQueue>();
};

} // namespace daisylanding::standin

#endif
