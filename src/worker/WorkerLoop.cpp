#include "worker/WorkerLoop.h"

namespace daisylanding::worker {

namespace {

constexpr size_t RingCapacity = 16'384;
constexpr Millis PollInterval{100};
constexpr size_t MaxReportBytes = 16 << 20;

Result<SyncReport> readAnswer(const http::CallResult &Answer) {
  if (!Answer)
    return Answer.error();
  if (Answer->Status == http::StatusConflict)
    return Errc::Fenced;
  if (Answer->Status != http::StatusOk)
    return Errc::Malformed;
  return syncReportFromText(Answer->Body);
}

} // namespace

WorkerLoop::WorkerLoop(Millis Timeout, std::function<void()> WakeShards)
    : Calls(RingCapacity, [this] { Client.wake(); }),
      Done(RingCapacity, std::move(WakeShards)), Timeout(Timeout),
      Client({.MaxConnectionsPerHost = 64, .MaxIdleConnections = 4'096}) {}

void WorkerLoop::begin(const SyncCall &Call) {
  http::Call Request;
  Request.Method = "POST";
  Request.Url = "http://" + Call.Address + "/v1/sync";
  Request.Body = toText(Call.Request);
  Request.Timeout = Timeout;
  Bytes += Request.Body.size();
  ++Syncs;
  Request.ConnectTimeout = Timeout;
  Request.MaxResponseBytes = MaxReportBytes;
  SyncDone Reply{
      .Shard = Call.Shard, .Epoch = Call.Epoch, .Instance = Call.Instance};
  Client.start(std::move(Request), [this, Reply = std::move(Reply)](
                                       const http::CallResult &Answer) mutable {
    if (Answer)
      Bytes += Answer->Body.size();
    Reply.Report = readAnswer(Answer);
    Finished.push_back(std::move(Reply));
  });
}

void WorkerLoop::run() {
  while (!Loop.stopping()) {
    SyncCall Call;
    while (Calls.pop(Call))
      begin(Call);
    Client.poll(PollInterval);
    while (!Finished.empty() && Done.push(Finished.front()))
      Finished.pop_front();
  }
}

} // namespace daisylanding::worker
