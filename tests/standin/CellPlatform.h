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

/// A small stand-in of the users' platform that speaks its published protocol:
/// the row store with conditions and a feed, executors with leases and fencing
/// tokens, and the policy service. All executors share one address and are
/// told apart by the life that a call names.
namespace daisylanding::standin {

struct CellPlatformFaults {
  bool StoreUnavailable = false;  ///< 503 to every call.
  bool StoreUnresponsive = false; ///< Calls are neither done nor answered.
  /// Of ten writes, so many are done and not answered.
  uint32_t LostResponsesPerTen = 0;
  /// Of ten writes, so many are done a second later and not answered.
  uint32_t LateWritesPerTen = 0;
};

class CellPlatform final : public http::Handler {
public:
  CellPlatform() = default;

  void handle(http::Request Request, http::Responder Responder) override;

  /// Writes the operator's configuration: one queue `/q/` of service `s`.
  void configure(uint64_t Version, bool WithAdvice);
  void addExecutor(const std::string &Id, const std::string &Address,
                   uint32_t MilliCores);
  /// The executor dies with all it runs; its entry stays until removed.
  void killExecutor(const std::string &Id);
  void setFaults(CellPlatformFaults NewFaults);

  /// Drops what is on its way. Called before the server that it answers
  /// through goes away.
  void shutDown();

  size_t runsStarted() const;
  /// What went against the protocol, or ran twice.
  std::vector<std::string> violations() const;

private:
  using Json = nlohmann::json;

  struct StoredRow {
    std::string Value; ///< As it came, base64.
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
    bool Killed = false;
    uint64_t FencingToken = 0;
    int64_t LeaseExpiryMs = 0;
    std::map<std::string, Run> RunsByTask;
    std::map<std::string, uint32_t> LastEndedRun;
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
  void handleTransaction(const Json &Body, const http::Responder &Responder);
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
  void handleAdviceCall(const Json &Body, http::Responder Responder);
  void advanceRuns(ExecutorState &Executor);
  void endRun(ExecutorState &Executor, const std::string &Task,
              const char *EndKind);
  static Json rowToJson(const RowKey &Key, const StoredRow &Row);
  static int64_t clockMs();
  static void sendJson(const http::Responder &Responder, uint16_t Status,
                       const Json &Body);

  mutable std::mutex Mutex;
  std::map<RowKey, StoredRow> Rows;
  uint64_t StoreVersion = 0;
  std::map<std::string, ExecutorState> Executors;
  std::vector<std::shared_ptr<FeedRequest>> PendingFeeds;
  CellPlatformFaults Faults;
  uint64_t WriteCount = 0;
  size_t RunsStarted = 0;
  std::map<std::string, bool> AcknowledgedTasks;
  std::vector<std::string> Violations;
  std::unique_ptr<DelayQueue> DelayedActions = std::make_unique<DelayQueue>();
};

} // namespace daisylanding::standin

#endif
