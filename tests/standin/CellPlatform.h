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
  bool StoreRefuses = false; ///< 503 to every call.
  bool StoreSilent = false;  ///< Calls are neither done nor answered.
  /// Of ten writes, so many are done and not answered.
  uint32_t LostAnswers = 0;
  /// Of ten writes, so many are done a second later and not answered.
  uint32_t LateWrites = 0;
};

class CellPlatform final : public http::Handler {
public:
  CellPlatform() = default;

  void handle(http::Request Incoming, http::Responder Respond) override;

  /// Writes the operator's configuration: one queue `/q/` of service `s`.
  void configure(uint64_t Version, bool WithAdvice);
  void addExecutor(const std::string &Id, const std::string &Address,
                   uint32_t MilliCores);
  /// The executor dies with all it runs; its entry stays until removed.
  void killExecutor(const std::string &Id);
  void setFaults(CellPlatformFaults Next);

  /// Drops what is on its way. Called before the server that it answers
  /// through goes away.
  void shutDown();

  size_t starts() const;
  /// What went against the protocol, or ran twice.
  std::vector<std::string> violations() const;

private:
  using Json = nlohmann::json;

  struct Stored {
    std::string Value; ///< As it came, base64.
    uint64_t Version = 0;
    bool Deleted = false;
  };
  using Key = std::array<std::string, 3>; ///< Table, partition, key.

  struct Run {
    uint32_t Number = 0;
    TimePoint Ends{};
  };

  struct Executor {
    uint32_t MilliCores = 0;
    bool Dead = false;
    uint64_t Token = 0;
    int64_t LeaseEnd = 0;
    std::map<std::string, Run> Running;
    std::map<std::string, uint32_t> Over;
    Json Finished = Json::array();
    uint64_t Ends = 0;
  };

  struct Waiter {
    std::string Table;
    uint64_t After = 0;
    http::Responder Respond;
    bool Answered = false;
  };

  void store(const http::Request &Incoming, http::Responder Respond);
  void transaction(const Json &Body, const http::Responder &Respond);
  Json apply(const Json &Body, bool &Held);
  Json rowsOf(const http::Request &Incoming) const;
  void feed(const http::Request &Incoming, http::Responder Respond);
  Json changesOf(const std::string &Table, uint64_t After) const;
  void wakeFeeds(const std::string &Table);
  void executor(const http::Request &Incoming, http::Responder Respond);
  void start(Executor &At, const Json &Body, const http::Responder &Respond);
  void stop(Executor &At, const Json &Body, const http::Responder &Respond);
  void hold(Executor &At, const Json &Body, http::Responder Respond);
  void advise(const Json &Body, http::Responder Respond);
  void move(Executor &At);
  void end(Executor &At, const std::string &Task, const char *How);
  static Json rowJson(const Key &At, const Stored &Row);
  static int64_t clockMs();
  static void reply(const http::Responder &Respond, uint16_t Status,
                    const Json &Body);

  mutable std::mutex Mutex;
  std::map<Key, Stored> Rows;
  uint64_t Version = 0;
  std::map<std::string, Executor> Executors;
  std::vector<std::shared_ptr<Waiter>> Waiters;
  CellPlatformFaults Faults;
  uint64_t Writes = 0;
  size_t Started = 0;
  std::map<std::string, bool> NotedDone;
  std::vector<std::string> Broken;
  std::unique_ptr<DelayQueue> Later = std::make_unique<DelayQueue>();
};

} // namespace daisylanding::standin

#endif
