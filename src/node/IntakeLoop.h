#ifndef DAISYLANDING_NODE_INTAKELOOP_H
#define DAISYLANDING_NODE_INTAKELOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "common/Timers.h"
#include "http/Server.h"
#include "node/JobWriter.h"
#include "node/OfferPacer.h"
#include "node/Shared.h"
#include "relay/RelayLoop.h"

#include <optional>

namespace daisylanding::node {

/// Serves callers: takes jobs in, tells their state, cancels them. What it
/// answers as accepted is stored; what may have been stored gets no definite
/// answer; what can't be stored is refused at once.
class IntakeLoop final : public http::Handler {
public:
  IntakeLoop(Shared &Common, relay::RelayLoop &Relay);
  ~IntakeLoop() override { stop(); }

  void handle(http::Request Incoming, http::Responder Respond) override;
  void start();
  void stop();
  /// Requests that were read and are not answered.
  size_t open() const { return Open.load(); }

private:
  /// One request on its way.
  struct Visit {
    http::Request Incoming;
    http::Responder Respond;
    TimePoint Arrived;
    TimePoint Deadline;
    const cell::Queue *From = nullptr;
    std::shared_ptr<const cell::CellConfig> Config; ///< Keeps `From` alive.
    std::string JobId;
    std::vector<std::string> Partitions; ///< Still to be searched.
    bool Unknown = false; ///< A write got no answer; it may be carried out.
    bool Answered = false;
    bool OfferedAgain = false;
    bool OfferOver = false; ///< The owner has answered, or is not waited for.
    uint32_t Sent = 0;      ///< Copies of its cancel under way.
  };
  using VisitPtr = std::shared_ptr<Visit>;

  void run();
  void route(const VisitPtr &Of);
  void submit(const VisitPtr &Of);
  void offer(const VisitPtr &Of, const cell::JobSpec &Job);
  void onVerdict(const VisitPtr &Of, const cell::JobSpec &Job,
                 const Result<cell::OfferOutcome> &Answer);
  void onNoWord(const VisitPtr &Of, const cell::JobSpec &Job,
                std::error_code Why, TimePoint Now);
  static Millis timeLeft(const VisitPtr &Of, TimePoint Now);
  void giveUp(const VisitPtr &Of, std::string_view Why);
  using WritePtr = std::shared_ptr<const store::Transaction>;
  void writeJob(const VisitPtr &Of, const cell::JobSpec &Job);
  void onJobWritten(const VisitPtr &Of, WriteOutcome How);
  void query(const VisitPtr &Of);
  void queryJobRow(const VisitPtr &Of, const std::string &Partition);
  void cancel(const VisitPtr &Of);
  void writeCancel(const VisitPtr &Of, const std::string &Partition,
                   uint64_t JobVersion);
  void sendCancel(const VisitPtr &Of, const WritePtr &What);
  void onCancelSent(const VisitPtr &Of, const WritePtr &What,
                    const store::TransactionResult &Result);
  std::optional<std::string> nextPartition(const VisitPtr &Of);
  void readJobRows(const VisitPtr &Of, const std::string &Partition,
                   std::function<void(const std::vector<store::Row> &)> OnRows);
  void answer(const VisitPtr &Of, uint16_t Status, std::string Body,
              std::string_view Why);
  void refuse(const VisitPtr &Of, std::string_view Why);
  void tellUnknown(const VisitPtr &Of);
  void problem(const VisitPtr &Of, uint16_t Status, std::string_view Field,
               std::string_view Allowed);
  void watchSilence(const VisitPtr &Of);
  bool storeSilent(TimePoint Now) const;

  Shared &Common;
  http::MultiClient Calls;
  relay::RelayLoop &Relay;
  OfferPacer Offering;
  SharedQueue<VisitPtr> Arrivals;
  SharedQueue<std::function<void()>> Verdicts;
  std::unique_ptr<store::RowStore> Store;
  Timers Later;
  std::map<std::string, JobWriter> Writers; ///< By service.
  std::atomic<size_t> Open{0};
  Thread Loop;
};

} // namespace daisylanding::node

#endif
