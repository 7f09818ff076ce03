#include "standin/PlatformService.h"

#include "standin/Program.h"
#include "table/Wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylanding::standin {

using nlohmann::json;

namespace {

/// How long a caller whose answer is lost waits: until its own timeout.
constexpr Millis NeverAnswered{600'000};

std::string zoneOf(const http::Request &Incoming) {
  const std::string *Zone =
      http::findHeader(Incoming.Headers, "Daisylanding-Availability-Zone");
  return Zone ? *Zone : std::string();
}

} // namespace

void PlatformService::handle(http::Request Incoming, http::Responder Respond) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Incoming.Target.rfind("/control/", 0) == 0) {
    Respond(control(Incoming));
    return;
  }
  if (Down || CutZones.count(zoneOf(Incoming))) {
    Respond(jsonResponse(http::StatusUnavailable, "{}"));
    return;
  }
  bool LoseAnswer = false;
  http::Response Answer = serve(Incoming, LoseAnswer);
  Micros Wait = LoseAnswer ? NeverAnswered : Delay;
  if (Wait == Micros(0)) {
    Respond(std::move(Answer));
    return;
  }
  Later.after(Wait, [Respond = std::move(Respond), Answer = std::move(Answer)] {
    Respond(Answer);
  });
}

http::Response PlatformService::control(const http::Request &Incoming) {
  std::string_view Path = http::targetPath(Incoming.Target);
  if (Path == "/control/instances") {
    List = table::instancesFromJson(json::parse(Incoming.Body));
    return jsonResponse(http::StatusOk, "{}");
  }
  if (Path == "/control/instance")
    return changeInstance(Incoming);
  if (Path == "/control/faults")
    return setFaults(Incoming);
  if (Path == "/control/stats") {
    json Out = {{"writes", Writes}, {"reads", Store.Reads}};
    return jsonResponse(http::StatusOk, Out.dump());
  }
  return jsonResponse(http::StatusNotFound, "{}");
}

/// Marks one instance leaving, removes it, or adds or replaces it.
http::Response PlatformService::changeInstance(const http::Request &Incoming) {
  json Change = json::parse(Incoming.Body);
  std::string Name = Change.at("name");
  std::string Action = Change.at("action");
  auto IsNamed = [&](const table::Instance &Each) { return Each.Name == Name; };
  if (Action == "leave") {
    for (table::Instance &Each : List.Instances)
      Each.Leaving = Each.Leaving || IsNamed(Each);
  } else {
    std::erase_if(List.Instances, IsNamed);
  }
  if (Action == "put") {
    json One = {{"version", 0}, {"instances", {Change.at("instance")}}};
    List.Instances.push_back(table::instancesFromJson(One).Instances[0]);
  }
  ++List.Version;
  return jsonResponse(http::StatusOk, "{}");
}

http::Response PlatformService::setFaults(const http::Request &Incoming) {
  json Faults = json::parse(Incoming.Body);
  Down = Faults.value("down", false);
  LoseAnswerRate = Faults.value("lose_answer_rate", 0.0);
  Delay = Millis(Faults.value("delay_ms", 0));
  CutZones = Faults.value("cut_zones", std::set<std::string>());
  return jsonResponse(http::StatusOk, "{}");
}

http::Response PlatformService::serve(const http::Request &Incoming,
                                      bool &LoseAnswer) {
  std::string_view Path = http::targetPath(Incoming.Target);
  if (Path == "/v1/table/commit")
    return commit(Incoming, LoseAnswer);
  if (Path == "/v1/table/rows")
    return rows(Incoming);
  if (Path == "/v1/objects")
    return objects(Incoming);
  if (Path == "/v1/instances")
    return jsonResponse(http::StatusOk, table::instancesToJson(List).dump());
  return jsonResponse(http::StatusNotFound, "{}");
}

http::Response PlatformService::commit(const http::Request &Incoming,
                                       bool &LoseAnswer) {
  auto Mutations = table::mutationsFromJson(json::parse(Incoming.Body));
  ++Writes;
  table::CommitResult Outcome = *Store.commit(Mutations);
  LoseAnswer = Generator.uniform() < LoseAnswerRate;
  return jsonResponse(Outcome.Committed ? http::StatusOk : http::StatusConflict,
                      table::commitResultToJson(Outcome).dump());
}

http::Response PlatformService::rows(const http::Request &Incoming) {
  std::string Key = http::queryValue(Incoming.Target, "key");
  std::vector<table::Row> Found;
  if (Key.empty()) {
    Found = *Store.scan(http::queryValue(Incoming.Target, "prefix"));
  } else {
    table::Row One = *Store.read(Key);
    if (One.Version != table::AbsentVersion)
      Found.push_back(std::move(One));
  }
  json Out = {{"rows", table::rowsToJson(Found)}};
  return jsonResponse(http::StatusOk, Out["rows"].dump());
}

http::Response PlatformService::objects(const http::Request &Incoming) {
  std::string Key = http::queryValue(Incoming.Target, "key");
  if (Incoming.Method == "PUT") {
    ++Writes;
    Store.put(Key, Incoming.Body);
    return jsonResponse(http::StatusOk, "{}");
  }
  Result<std::string> Found = Store.fetch(Key);
  if (!Found)
    return jsonResponse(http::StatusNotFound, "{}");
  return {.Status = http::StatusOk, .Body = std::move(*Found)};
}

} // namespace daisylanding::standin
