#include "standin/PlatformService.h"

#include "standin/Program.h"
#include "table/Wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylanding::standin {

using nlohmann::json;

namespace {

/// Longer than any client's time-out, so that a lost answer never arrives.
constexpr Millis LostResponseDelay{600'000};

std::string zoneOf(const http::Request &Request) {
  const std::string *Zone =
      http::findHeader(Request.Headers, "Daisylanding-Availability-Zone");
  return Zone ? *Zone : std::string();
}

} // namespace

void PlatformService::handle(http::Request Request, http::Responder Responder) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Request.Target.rfind("/control/", 0) == 0) {
    Responder(handleControlCall(Request));
    return;
  }
  if (Unavailable || IsolatedZones.count(zoneOf(Request))) {
    Responder(jsonResponse(http::StatusUnavailable, "{}"));
    return;
  }
  bool ResponseLost = false;
  http::Response Response = handlePlatformCall(Request, ResponseLost);
  Micros ResponseWait = ResponseLost ? LostResponseDelay : ResponseDelay;
  if (ResponseWait == Micros(0)) {
    Responder(std::move(Response));
    return;
  }
  DelayedResponses.schedule(
      ResponseWait, [Responder = std::move(Responder),
                     Response = std::move(Response)] { Responder(Response); });
}

http::Response
PlatformService::handleControlCall(const http::Request &Request) {
  std::string_view Path = http::targetPath(Request.Target);
  if (Path == "/control/instances") {
    InstanceList = table::instancesFromJson(json::parse(Request.Body));
    return jsonResponse(http::StatusOk, "{}");
  }
  if (Path == "/control/instance")
    return changeInstance(Request);
  if (Path == "/control/faults")
    return setFaults(Request);
  if (Path == "/control/stats") {
    json Stats = {{"writes", WriteCount}, {"reads", Store.ReadCount}};
    return jsonResponse(http::StatusOk, Stats.dump());
  }
  return jsonResponse(http::StatusNotFound, "{}");
}

/// Applies the action `leave`, `put` or, with any other name, removal to one
/// instance of the list.
http::Response PlatformService::changeInstance(const http::Request &Request) {
  json Change = json::parse(Request.Body);
  std::string Name = Change.at("name");
  std::string Action = Change.at("action");
  auto HasName = [&](const table::Instance &Instance) {
    return Instance.Name == Name;
  };
  if (Action == "leave") {
    for (table::Instance &Instance : InstanceList.Instances)
      Instance.Leaving = Instance.Leaving || HasName(Instance);
  } else {
    std::erase_if(InstanceList.Instances, HasName);
  }
  if (Action == "put") {
    json InstanceDocument = {{"version", 0},
                             {"instances", {Change.at("instance")}}};
    InstanceList.Instances.push_back(
        table::instancesFromJson(InstanceDocument).Instances[0]);
  }
  ++InstanceList.Version;
  return jsonResponse(http::StatusOk, "{}");
}

http::Response PlatformService::setFaults(const http::Request &Request) {
  json Faults = json::parse(Request.Body);
  Unavailable = Faults.value("down", false);
  ResponseLossRate = Faults.value("lose_answer_rate", 0.0);
  ResponseDelay = Millis(Faults.value("delay_ms", 0));
  IsolatedZones = Faults.value("cut_zones", std::set<std::string>());
  return jsonResponse(http::StatusOk, "{}");
}

http::Response PlatformService::handlePlatformCall(const http::Request &Request,
                                                   bool &ResponseLost) {
  std::string_view Path = http::targetPath(Request.Target);
  if (Path == "/v1/table/commit")
    return commitRows(Request, ResponseLost);
  if (Path == "/v1/table/rows")
    return readRows(Request);
  if (Path == "/v1/objects")
    return handleObjectCall(Request);
  if (Path == "/v1/instances")
    return jsonResponse(http::StatusOk,
                        table::instancesToJson(InstanceList).dump());
  return jsonResponse(http::StatusNotFound, "{}");
}

http::Response PlatformService::commitRows(const http::Request &Request,
                                           bool &ResponseLost) {
  auto Mutations = table::mutationsFromJson(json::parse(Request.Body));
  ++WriteCount;
  table::CommitResult Outcome = *Store.commit(Mutations);
  ResponseLost = Generator.uniform() < ResponseLossRate;
  return jsonResponse(Outcome.Committed ? http::StatusOk : http::StatusConflict,
                      table::commitResultToJson(Outcome).dump());
}

http::Response PlatformService::readRows(const http::Request &Request) {
  std::string Key = http::queryValue(Request.Target, "key");
  std::vector<table::Row> MatchingRows;
  if (Key.empty()) {
    MatchingRows = *Store.scan(http::queryValue(Request.Target, "prefix"));
  } else {
    table::Row Row = *Store.read(Key);
    if (Row.Version != table::AbsentVersion)
      MatchingRows.push_back(std::move(Row));
  }
  json Document = {{"rows", table::rowsToJson(MatchingRows)}};
  return jsonResponse(http::StatusOk, Document["rows"].dump());
}

http::Response PlatformService::handleObjectCall(const http::Request &Request) {
  std::string Key = http::queryValue(Request.Target, "key");
  if (Request.Method == "PUT") {
    ++WriteCount;
    Store.put(Key, Request.Body);
    return jsonResponse(http::StatusOk, "{}");
  }
  Result<std::string> Object = Store.fetch(Key);
  if (!Object)
    return jsonResponse(http::StatusNotFound, "{}");
  return {.Status = http::StatusOk, .Body = std::move(*Object)};
}

} // namespace daisylanding::standin
