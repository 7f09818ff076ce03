#ifndef DAISYLANDING_OPERATOR_OPERATORAPI_H
#define DAISYLANDING_OPERATOR_OPERATORAPI_H

#include "config/JobSpec.h"
#include "entry/EntryContext.h"
#include "entry/ShardLoop.h"
#include "http/Server.h"
#include "peer/PeerLoop.h"

#include <nlohmann/json_fwd.hpp>

namespace daisylanding::op {

/// The operator API of one entry. Runs on a thread of its own, since its table
/// calls block; the server's thread only enqueues calls.
class OperatorApi final : public http::Handler {
public:
  OperatorApi(entry::EntryContext &Context, entry::ShardLoop &Shards,
              peer::PeerLoop &Peers);

  void handle(http::Request Request, http::Responder Responder) override;
  void start() {
    LoopThread.start("operators", [this] { run(); });
  }
  void stop() {
    LoopThread.requestStop();
    LoopWaker.wake();
    LoopThread.join();
  }

private:
  struct PendingCall {
    http::Request Request;
    http::Responder Responder;
  };

  void run();
  http::Response route(const http::Request &Request);
  http::Response showStatus();
  http::Response showConfig(bool Newest);
  http::Response changeConfig(const http::Request &Request);
  http::Response submitJob(const http::Request &Request);
  http::Response showJob(const std::string &JobId);
  http::Response listJobs();
  http::Response stopJob(const std::string &JobId);
  http::Response showTimeline(const http::Request &Request);
  http::Response showMetrics();

  Result<std::string> chooseShard(const config::JobSpec &Spec,
                                  config::InputProblem &Problem) const;
  bool checkReferences(const config::JobSpec &Spec,
                       config::InputProblem &Problem) const;
  http::Response commitJob(const config::JobSpec &Spec,
                           const std::string &ShardId);
  http::Response respondToExistingJob(const config::JobSpec &Spec,
                                      const table::Row &Row) const;
  void notifyShardOwner(const std::string &ShardId);
  Result<std::vector<std::string>>
  collectJobDocuments(const std::string &JobId);

  entry::EntryContext &Context;
  entry::ShardLoop &Shards;
  peer::PeerLoop &Peers;
  Waker LoopWaker;
  SharedQueue<PendingCall> PendingCalls;
  std::unique_ptr<table::HttpPlatform> Platform;
  uint64_t ChangeCount = 0;
  Thread LoopThread;
};

/// Passes JSON of the jobs and shards on this entry to \p Done, on the shard
/// loop's thread. An empty \p JobId selects all jobs. Returns false if the
/// loop's query queue is full.
bool requestJobsDocument(entry::ShardLoop &Shards, const std::string &JobId,
                         std::function<void(std::string)> Done);

} // namespace daisylanding::op

#endif
