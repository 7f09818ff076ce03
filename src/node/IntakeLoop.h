#ifndef DAISYLANDING_NODE_INTAKELOOP_H
#define DAISYLANDING_NODE_INTAKELOOP_H

#include "common/LogLimiter.h"
#include "common/Ring.h"
#include "common/Thread.h"
#include "common/Timers.h"
#include "http/Server.h"
#include "node/AdmissionPolicy.h"
#include "node/EntryContext.h"
#include "node/JobWriter.h"
#include "node/OfferPolicy.h"
#include "node/QueuePlaces.h"
#include "relay/RelayLoop.h"

#include <optional>

namespace daisylanding::node {

/// Serves callers: accepts jobs, reports their state, cancels them. A job is
/// reported as accepted only once it is stored; if it may have been stored the
/// outcome is reported as unknown; if it can't be stored it is refused at once.
class IntakeLoop final : public http::Handler {
public:
  /// Timeout of requests that don't give one.
  static constexpr Millis DefaultTimeout{3'000};
  /// Time reserved for an answer to reach the caller.
  static constexpr Millis AnswerMargin{150};
  /// A working store answers some loop of this process several times within
  /// this period.
  static constexpr Millis StoreSilenceLimit{1'000};
  /// Told with a refusal, unless a backlog is to be waited for.
  static constexpr Millis DefaultRetryAfter{1'000};

  IntakeLoop(EntryContext &Context, relay::RelayLoop &Relay);
  ~IntakeLoop() override { stop(); }

  void handle(http::Request HttpRequest, http::Responder Respond) override;
  void start();
  void stop();
  /// Number of requests received and not yet answered.
  size_t openRequests() const { return OpenRequests.load(); }

private:
  struct PendingRequest {
    http::Request HttpRequest;
    http::Responder Respond;
    TimePoint ArrivedAt;
    TimePoint Deadline;
    const cell::Queue *Queue = nullptr;
    std::shared_ptr<const cell::CellConfig> Config; ///< Keeps `Queue` alive.
    TimePoint ConfigConfirmedAt; ///< When `Config` was taken.
    std::string JobId;
    std::string Workspace;               ///< Of its key; empty if it has none.
    std::vector<std::string> Partitions; ///< Not yet searched for the job.
    /// A write got no answer and may still take effect.
    bool OutcomeUnknown = false;
    bool Answered = false;
    bool OfferRetried = false;
    /// The owner has answered, or the offer has timed out.
    bool OfferSettled = false;
    bool SearchWatched = false;   ///< Other services are asked for the job.
    bool SearchDone = false;      ///< None of them has it.
    uint32_t CancelsInFlight = 0; ///< Unanswered copies of the cancel.
    Millis RetryAfter = DefaultRetryAfter; ///< If it is refused.
  };
  using RequestPtr = std::shared_ptr<PendingRequest>;

  void run();
  void route(const RequestPtr &Request);
  void submit(const RequestPtr &Request);
  void checkPlaces(const RequestPtr &Request, const cell::JobSpec &Job);
  PlaceCheck checkOf(const PendingRequest &Request,
                     const std::string &Service) const;
  bool mayStoreBy(const PendingRequest &Request, uint64_t StatedVersion) const;
  void awaitStatement(const RequestPtr &Request, const cell::JobSpec &Job);
  bool isOwnServiceBehind(const PendingRequest &Request) const;
  void offerOnceStated(const RequestPtr &Request, const cell::JobSpec &Job);
  void watchSearch(const RequestPtr &Request);
  void refuseLateSearch(const RequestPtr &Request);
  void searchJobRow(const RequestPtr &Request, const cell::JobSpec &Job);
  void searchEndedRow(const RequestPtr &Request, const cell::JobSpec &Job);
  void answerFound(const RequestPtr &Request, bool IsSameWork);
  void offer(const RequestPtr &Request, const cell::JobSpec &Job);
  void onOfferOutcome(const RequestPtr &Request, const cell::JobSpec &Job,
                      const Result<cell::OfferOutcome> &Outcome);
  void onOfferFailure(const RequestPtr &Request, const cell::JobSpec &Job,
                      std::error_code Failure, TimePoint Now);
  void confirmRefusal(const RequestPtr &Request, const cell::JobSpec &Job);
  void confirmNotEnded(const RequestPtr &Request, const cell::JobSpec &Job);
  void answerKnown(const RequestPtr &Request, bool IsSameWork);
  void refuseForBacklog(const RequestPtr &Request);
  static Millis timeLeft(const RequestPtr &Request, TimePoint Now);
  void failSubmit(const RequestPtr &Request, std::string_view Reason);
  using TransactionPtr = std::shared_ptr<const store::Transaction>;
  void writeJob(const RequestPtr &Request, const cell::JobSpec &Job);
  void onJobWritten(const RequestPtr &Request, WriteOutcome Outcome);
  void query(const RequestPtr &Request);
  void queryProgress(const RequestPtr &Request, const std::string &Partition);
  void queryJobRow(const RequestPtr &Request, const std::string &Partition);
  bool refusesKeys(const PendingRequest &Request, TimePoint Now);
  void cancel(const RequestPtr &Request);
  void cancelEnded(const RequestPtr &Request, const std::string &Partition);
  void answerCancelOfEnded(const RequestPtr &Request,
                           const std::string &Partition);
  void writeCancel(const RequestPtr &Request, const std::string &Partition,
                   uint64_t JobVersion);
  void sendCancel(const RequestPtr &Request, const TransactionPtr &Tx);
  void onCancelResult(const RequestPtr &Request, const TransactionPtr &Tx,
                      const store::TransactionResult &Result);
  std::optional<std::string> nextPartition(const RequestPtr &Request);
  void readJobRows(const RequestPtr &Request, const std::string &Partition,
                   std::function<void(const std::vector<store::Row> &)> OnRows);
  void readRow(const RequestPtr &Request, const char *Table,
               const std::string &Partition,
               std::function<void(const std::string *)> OnValue);
  void readEndedJob(
      const RequestPtr &Request, const std::string &Partition,
      std::function<void(const std::optional<cell::EndedJob> &)> OnJob);
  void
  readEndedPhase(const RequestPtr &Request, const std::string &Partition,
                 std::function<void(std::optional<cell::JobPhase>)> OnPhase);
  void answerPhase(const RequestPtr &Request, cell::JobPhase Phase);
  bool mayHoldJobsOf(const PendingRequest &Request,
                     const std::string &Service) const;
  std::optional<uint64_t> countPending(const std::string &Queue,
                                       const std::string &Service,
                                       TimePoint Now);
  void answerPending(const RequestPtr &Request);
  void answer(const RequestPtr &Request, uint16_t Status, std::string Body,
              std::string_view Reason);
  void refuse(const RequestPtr &Request, std::string_view Reason);
  void denyByConfig(const RequestPtr &Request, uint16_t Status,
                    std::string_view Reason);
  void answerUnknown(const RequestPtr &Request);
  void answerProblem(const RequestPtr &Request, uint16_t Status,
                     std::string_view Field, std::string_view Allowed);
  void checkStoreSilence(const RequestPtr &Request);
  bool isStoreSilent(TimePoint Now) const;

  EntryContext &Context;
  http::MultiClient Client;
  relay::RelayLoop &Relay;
  OfferPolicy Policy;
  LogLimiter OutdatedKeysLog{1};
  LogLimiter OutdatedConfigLog{1};
  AdmissionPolicy Admission;
  SharedQueue<RequestPtr> Arrivals;
  SharedQueue<std::function<void()>> OfferOutcomes;
  std::unique_ptr<store::RowStore> Store;
  Timers TimerQueue;
  std::map<std::string, JobWriter> Writers; ///< By service.
  std::atomic<size_t> OpenRequests{0};
  Thread Loop;
};

} // namespace daisylanding::node

#endif
