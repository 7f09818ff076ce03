#ifndef DAISYLANDING_ENTRY_REQUESTLOOP_H
#define DAISYLANDING_ENTRY_REQUESTLOOP_H

#include "common/Random.h"
#include "common/Ring.h"
#include "common/Thread.h"
#include "endpoint/EndpointLoop.h"
#include "entry/EntryContext.h"
#include "entry/HolderWatch.h"
#include "entry/PeerLoads.h"
#include "entry/RecordLoop.h"
#include "entry/RequestMessages.h"
#include "entry/ServiceState.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace daisylanding::caller {
enum class EarlierTries;
enum class ProblemCode;
} // namespace daisylanding::caller

namespace daisylanding::entry {

/// The loop that handles requests: admission, queueing, choice of endpoint,
/// retries, and exactly one answer to each request.
class RequestLoop {
public:
  explicit RequestLoop(EntryContext &Context);

  void start();
  /// Wakes the loop. New requests are refused once the entry is draining;
  /// admitted requests are finished.
  void drain() { Wake.wake(); }
  /// Stops the loop when no request is active, after \p DrainTimeout at the
  /// latest.
  void stop(Millis DrainTimeout);

  /// Pushed by the thread of the callers' server.
  Ring<IncomingRequest> CallerRequests;
  /// Pushed by the peers' thread.
  Ring<IncomingRequest> PeerRequests;
  Ring<ForwardReply> ForwardReplies;
  Ring<CreditRow> CreditRows; ///< Pushed by the credit loop.

  /// Called by this loop; they push to the peers' and the credit loop. False if
  /// the ring is full.
  std::function<bool(ForwardCall)> Forward;
  std::function<bool(CreditWrite)> WriteCredits;

  size_t activeRequests() const { return ActiveCount.load(); }

private:
  enum class Stage : uint8_t {
    Queued,
    Reserving, ///< The record of a non-repeatable request is being written.
    InFlight,
    Forwarding,
    LookingUp, ///< Abandoned; the record of earlier tries is being read.
    Releasing, ///< Known not to have run; its record is being removed.
  };

  struct ActiveRequest {
    IncomingRequest Incoming;
    Stage CurrentStage = Stage::Queued;
    ServiceState *Service = nullptr;
    TimePoint Deadline;
    TimePoint SentAt;
    std::optional<size_t> EndpointIndex;
    std::optional<size_t> ExcludedEndpoint;
    uint32_t Attempts = 0;
    bool Recorded = false; ///< Its record exists in the table.
    /// An attempt was sent and was answered or has an unknown outcome. Whatever
    /// the outcome of further attempts, the request can't be reported as not
    /// run.
    bool MayHaveRun = false;
    std::string Token;
    caller::ProblemCode Problem;
    int64_t RetryAfter = 1;
  };

  void run();
  void handleMessages();
  void applyView();
  void admit(IncomingRequest Incoming);
  std::optional<http::Response>
  refusalFor(const IncomingRequest &Incoming) const;
  void enqueue(uint64_t Id, ActiveRequest &Request, TimePoint Now);
  bool forwardTo(LoadDigest &Peer, uint64_t Id, ActiveRequest &Request,
                 TimePoint Now);
  bool forwardForBalance(uint64_t Id, ActiveRequest &Request, TimePoint Now);
  bool forwardForCapacity(uint64_t Id, ActiveRequest &Request, TimePoint Now);
  void dispatch(TimePoint Now);
  void expireWaiting(ServiceState &Service, TimePoint Now);
  void dispatchWaiting(ServiceState &Service, TimePoint Now);
  void startOnEndpoint(uint64_t Id, ActiveRequest &Request,
                       size_t EndpointIndex, TimePoint Now);
  void reserveRecord(uint64_t Id, ActiveRequest &Request);
  void sendToEndpoint(uint64_t Id, ActiveRequest &Request, TimePoint Now);
  void onEndpointReply(endpoint::EndpointReply Reply, TimePoint Now);
  void onFailure(uint64_t Id, ActiveRequest &Request, std::error_code Failure,
                 TimePoint Now);
  bool retry(uint64_t Id, ActiveRequest &Request, TimePoint Now);
  void onRecord(const RecordReply &Reply, TimePoint Now);
  void answerFromRecord(uint64_t Id, ActiveRequest &Request,
                        const RequestRecord &EarlierRecord);
  void onForwardReply(ForwardReply Reply);
  void onCredits(const CreditRow &Row);
  void abandon(uint64_t Id, ActiveRequest &Request, caller::ProblemCode Problem,
               Micros ExpectedWait);
  void answerNotRun(uint64_t Id, ActiveRequest &Request,
                    caller::EarlierTries Earlier);
  void finish(uint64_t Id, ActiveRequest &Request, http::Response Answer);
  void releaseSlot(ActiveRequest &Request, Micros Latency, bool Succeeded,
                   TimePoint Now);
  uint64_t heldCredits() const;
  void publishLoad(TimePoint Now);
  ServiceState *findService(std::string_view Name);
  std::string recordKey(const ActiveRequest &Request) const;
  bool pushRecord(uint64_t Id, const ActiveRequest &Request,
                  RecordOperation Operation,
                  const http::Response *Answer = nullptr);

  EntryContext &Context;
  Waker Wake;
  endpoint::EndpointLoop Endpoints;
  RecordLoop Records;
  HolderWatch Holders;
  PeerLoads Loads;
  Random Generator;
  std::shared_ptr<const ClusterView> View;
  std::shared_ptr<const config::ClusterConfig> Config;
  std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> Services;
  std::unordered_map<uint64_t, ActiveRequest> Requests;
  uint64_t NextId = 1;
  TimePoint NextLoadPublish{};
  TimePoint NextExpiry{};
  std::atomic<size_t> ActiveCount{0};
  std::atomic<uint64_t> HeldCredits{0};
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
