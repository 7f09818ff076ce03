#include "standin/ExecutorService.h"

#include "standin/Program.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylanding::standin {

ExecutorService::ExecutorService(ExecutorOptions Options)
    : Options(std::move(Options)), Log(this->Options.HistoryFile),
      Generator(this->Options.Seed) {}

void ExecutorService::setFaults(const http::Request &Incoming) {
  auto Faults = nlohmann::json::parse(Incoming.Body);
  SlowFactor = Faults.value("slow_factor", 1.0);
  Failing = Faults.value("failing", false);
  if (Faults.value("silent", false))
    SilentUpTo = NewestConnection;
}

Micros ExecutorService::workTime() {
  double Spread = 0.5 + Generator.uniform();
  return Micros(static_cast<int64_t>(
      static_cast<double>(Micros(Options.Work).count()) * Spread * SlowFactor));
}

void ExecutorService::handle(http::Request Incoming, http::Responder Respond) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (http::targetPath(Incoming.Target) == "/control/faults") {
    setFaults(Incoming);
    Respond(jsonResponse(http::StatusOk, "{}"));
    return;
  }
  NewestConnection = std::max(NewestConnection, Incoming.ConnectionId);
  bool Silent = Incoming.ConnectionId <= SilentUpTo;
  ++Running;
  Log.add(fmt::format("run {} {} running={}", Options.Name, Incoming.Body,
                      Running));
  uint16_t Status = Failing ? http::StatusInternalError : http::StatusOk;
  Later.after(workTime(), [this, Silent, Status, Body = Incoming.Body,
                           Respond = std::move(Respond)] {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      --Running;
      Log.add(fmt::format("end {} {}", Options.Name, Body));
    }
    if (!Silent)
      Respond({.Status = Status, .Body = "answer:" + Body});
  });
}

} // namespace daisylanding::standin
