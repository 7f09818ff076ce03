#ifndef DAISYLANDING_OPERATOR_OPERATORAPI_H
#define DAISYLANDING_OPERATOR_OPERATORAPI_H

#include "config/JobSpec.h"
#include "entry/EntryContext.h"
#include "entry/ShardLoop.h"
#include "http/Server.h"
#include "peer/PeerLoop.h"

#include <nlohmann/json_fwd.hpp>

namespace daisylanding::op {

/// The operators' calls on one entry. Runs on a thread of its own, since its
/// table calls block; the server's thread only hands calls over.
class OperatorApi final : public http::Handler {
public:
  OperatorApi(entry::EntryContext &Shared, entry::ShardLoop &Shards,
              peer::PeerLoop &Peers);

  void handle(http::Request Incoming, http::Responder Respond) override;
  void start() {
    Loop.start("operators", [this] { run(); });
  }
  void stop() {
    Loop.requestStop();
    Wake.wake();
    Loop.join();
  }

private:
  struct Call {
    http::Request Incoming;
    http::Responder Respond;
  };

  void run();
  http::Response route(const http::Request &Incoming);
  http::Response status();
  http::Response showConfig(bool Newest);
  http::Response changeConfig(const http::Request &Incoming);
  http::Response submitJob(const http::Request &Incoming);
  http::Response showJob(const std::string &Id);
  http::Response listJobs();
  http::Response stopJob(const std::string &Id);
  http::Response timeline(const http::Request &Incoming);
  http::Response metrics();

  Result<std::string> chooseShard(const config::JobSpec &Spec,
                                  config::InputProblem &Problem) const;
  bool checkReferences(const config::JobSpec &Spec,
                       config::InputProblem &Problem) const;
  http::Response writeJob(const config::JobSpec &Spec,
                          const std::string &Shard);
  http::Response acceptedOrConflict(const config::JobSpec &Spec,
                                    const table::Row &Row) const;
  void wakeOwner(const std::string &Shard);
  std::vector<std::string> jobDocuments(const std::string &Job);

  entry::EntryContext &Shared;
  entry::ShardLoop &Shards;
  peer::PeerLoop &Peers;
  Waker Wake;
  SharedQueue<Call> Calls;
  std::unique_ptr<table::HttpPlatform> Platform;
  uint64_t ChangeCount = 0;
  Thread Loop;
};

/// Gives the JSON of jobs and shards on this entry to \p Done, on the shard
/// loop's thread. False when that loop has too many questions.
bool askJobsDocument(entry::ShardLoop &Shards, const std::string &Job,
                     std::function<void(std::string)> Done);

} // namespace daisylanding::op

#endif
