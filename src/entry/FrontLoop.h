#ifndef DAISYLANDING_ENTRY_FRONTLOOP_H
#define DAISYLANDING_ENTRY_FRONTLOOP_H

#include "common/Random.h"
#include "common/Ring.h"
#include "common/Thread.h"
#include "endpoint/EndpointLoop.h"
#include "entry/Context.h"
#include "entry/FrontMessages.h"
#include "entry/HolderWatch.h"
#include "entry/PeerLoads.h"
#include "entry/RecordLoop.h"
#include "entry/ServiceState.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace daisylanding::caller {
enum class EarlierTries;
enum class ProblemCode;
} // namespace daisylanding::caller

namespace daisylanding::entry {

/// The loop that decides about requests: admission, queueing, the choice of
/// an endpoint, retries, and the one final answer of each request.
class FrontLoop {
public:
  explicit FrontLoop(Context &Shared);

  void start();
  /// Refuses new requests from now on; those admitted are finished.
  void drain() { Wake.wake(); }
  /// Waits until nothing is in flight, at most \p Longest, then stops.
  void stop(Millis Longest);

  /// From the callers' server thread.
  Ring<FrontRequest> FromCallers;
  /// From the peers' thread.
  Ring<FrontRequest> FromPeers;
  Ring<ForwardDone> Forwarded;
  Ring<CreditRow> CreditRows; ///< From the credit loop.

  /// Filled by the front; drained by the peers' and the credit loop.
  std::function<bool(ForwardCall)> Forward;
  std::function<bool(CreditWrite)> WriteCredits;

  size_t active() const { return ActiveCount.load(); }

private:
  enum class Stage : uint8_t {
    Queued,
    Reserving, ///< The record of a non-repeatable request is being written.
    InFlight,
    Forwarding,
    LookingUp, ///< Given up; earlier tries are looked up for the answer.
    Releasing, ///< Surely not run; its record is being removed.
  };

  struct Active {
    FrontRequest In;
    Stage At = Stage::Queued;
    ServiceState *Service = nullptr;
    TimePoint Deadline;
    TimePoint SentAt;
    std::optional<size_t> Endpoint;
    std::optional<size_t> Excluded;
    uint32_t Tries = 0;
    bool Recorded = false; ///< Its record exists in the table.
    /// A try was sent and its fate is open, or it was answered: whatever
    /// becomes of further tries, it can't be told as not run.
    bool MayHaveRun = false;
    std::string Token;
    caller::ProblemCode Problem;
    int64_t RetryAfter = 1;
  };

  void run();
  void takeMessages();
  void applyView();
  void admit(FrontRequest In);
  std::optional<http::Response> refusal(const FrontRequest &In) const;
  void enqueue(uint64_t Id, Active &Each, TimePoint Now);
  bool forwardTo(LoadDigest &Peer, uint64_t Id, Active &Each, TimePoint Now);
  bool tryBalance(uint64_t Id, Active &Each, TimePoint Now);
  bool tryRescue(uint64_t Id, Active &Each, TimePoint Now);
  void dispatch(TimePoint Now);
  void expire(ServiceState &Service, TimePoint Now);
  void dispatchService(ServiceState &Service, TimePoint Now);
  void startOn(uint64_t Id, Active &Each, size_t Endpoint, TimePoint Now);
  void reserve(uint64_t Id, Active &Each);
  void send(uint64_t Id, Active &Each, TimePoint Now);
  void onEndpointDone(endpoint::EndpointDone Done, TimePoint Now);
  void onFailure(uint64_t Id, Active &Each, std::error_code Failure,
                 TimePoint Now);
  bool retry(uint64_t Id, Active &Each, TimePoint Now);
  void onRecord(const RecordReply &Reply, TimePoint Now);
  void onEarlier(uint64_t Id, Active &Each, const RequestRecord &Earlier);
  void onForwarded(ForwardDone Done);
  void onCredits(const CreditRow &Row);
  void giveUp(uint64_t Id, Active &Each, caller::ProblemCode Problem,
              Micros ExpectedWait);
  void answerNotRun(uint64_t Id, Active &Each, caller::EarlierTries Earlier);
  void finish(uint64_t Id, Active &Each, http::Response Answer);
  void freeSlot(Active &Each, Micros Latency, bool Good, TimePoint Now);
  uint64_t heldSlots() const;
  void publishLoad(TimePoint Now);
  ServiceState *findService(std::string_view Name);
  std::string recordKey(const Active &Each) const;
  bool pushRecord(uint64_t Id, const Active &Each, RecordKind Kind,
                  const http::Response *Answer = nullptr);

  Context &Shared;
  Waker Wake;
  endpoint::EndpointLoop Endpoints;
  RecordLoop Records;
  HolderWatch Holders;
  PeerLoads Loads;
  Random Generator;
  std::shared_ptr<const View> Seen;
  std::shared_ptr<const config::ClusterConfig> Config;
  std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> Services;
  std::unordered_map<uint64_t, Active> Requests;
  uint64_t NextId = 1;
  TimePoint NextPublish{};
  TimePoint NextExpiry{};
  std::atomic<size_t> ActiveCount{0};
  std::atomic<uint64_t> HeldSlots{0};
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
