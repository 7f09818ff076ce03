#include "standin/EndpointService.h"

#include "standin/Program.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylanding::standin {

EndpointService::EndpointService(EndpointOptions Options)
    : Options(std::move(Options)), HistoryLog(this->Options.HistoryFile),
      Generator(this->Options.Seed) {}

void EndpointService::setFaults(const http::Request &Request) {
  auto Faults = nlohmann::json::parse(Request.Body);
  SlowFactor = Faults.value("slow_factor", 1.0);
  Failing = Faults.value("failing", false);
  if (Faults.value("silent", false))
    LastSilentConnectionId = NewestConnectionId;
}

Micros EndpointService::drawWorkTime() {
  double Jitter = 0.5 + Generator.uniform();
  return Micros(static_cast<int64_t>(
      static_cast<double>(Micros(Options.MeanWorkTime).count()) * Jitter *
      SlowFactor));
}

void EndpointService::handle(http::Request Request, http::Responder Responder) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (http::targetPath(Request.Target) == "/control/faults") {
    setFaults(Request);
    Responder(jsonResponse(http::StatusOk, "{}"));
    return;
  }
  NewestConnectionId = std::max(NewestConnectionId, Request.ConnectionId);
  bool ConnectionSilent = Request.ConnectionId <= LastSilentConnectionId;
  ++RunningCount;
  HistoryLog.append(fmt::format("run {} {} running={}", Options.Name,
                                Request.Body, RunningCount));
  uint16_t Status = Failing ? http::StatusInternalError : http::StatusOk;
  DelayedResponses.schedule(drawWorkTime(), [this, ConnectionSilent, Status,
                                             Body = Request.Body,
                                             Responder = std::move(Responder)] {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      --RunningCount;
      HistoryLog.append(fmt::format("end {} {}", Options.Name, Body));
    }
    if (!ConnectionSilent)
      Responder({.Status = Status, .Body = "answer:" + Body});
  });
}

} // namespace daisylanding::standin
