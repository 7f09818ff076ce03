#include "worker/Protocol.h"

#include "table/Wire.h"

#include <nlohmann/json.hpp>

namespace daisylanding::worker {

using nlohmann::json;

namespace {

json idToJson(const AttemptId &Id) {
  return json::array({Id.Job, Id.Index, Id.Attempt});
}

AttemptId idFromJson(const json &Source) {
  return {.Job = Source.at(0), .Index = Source.at(1), .Attempt = Source.at(2)};
}

json startToJson(const StartCommand &Each) {
  return {{"id", idToJson(Each.Id)},
          {"size", table::resourcesToJson(Each.Size)},
          {"run_ms", Each.RunTime.count()},
          {"leased", Each.Leased},
          {"payload", Each.Payload}};
}

StartCommand startFromJson(const json &Source) {
  return {.Id = idFromJson(Source.at("id")),
          .Size = table::resourcesFromJson(Source.at("size")),
          .RunTime = Millis(Source.at("run_ms").get<int64_t>()),
          .Leased = Source.at("leased"),
          .Payload = Source.at("payload")};
}

json endedToJson(const EndedReport &Each) {
  return {{"id", idToJson(Each.Id)},
          {"result", static_cast<int>(Each.Result)},
          {"peak", table::resourcesToJson(Each.Peak)},
          {"ran_ms", Each.Ran.count()}};
}

EndedReport endedFromJson(const json &Source) {
  return {.Id = idFromJson(Source.at("id")),
          .Result = static_cast<AttemptResult>(Source.at("result").get<int>()),
          .Peak = table::resourcesFromJson(Source.at("peak")),
          .Ran = Millis(Source.at("ran_ms").get<int64_t>())};
}

SyncRequest requestFromJson(const json &Source) {
  SyncRequest Out;
  Out.Shard = Source.at("shard");
  Out.Epoch = Source.at("epoch");
  Out.Sequence = Source.at("sequence");
  Out.Boot = Source.at("boot");
  Out.LeaseUntilMs = Source.at("lease_until_ms");
  Out.ThrottlePercent = Source.at("throttle");
  for (const json &Each : Source.at("start"))
    Out.Start.push_back(startFromJson(Each));
  for (const json &Each : Source.at("stop"))
    Out.Stop.push_back(
        {.Id = idFromJson(Each.at("id")), .Checkpoint = Each.at("checkpoint")});
  for (const json &Each : Source.at("ack"))
    Out.Acknowledge.push_back(idFromJson(Each));
  return Out;
}

SyncReport reportFromJson(const json &Source) {
  SyncReport Out;
  Out.Boot = Source.at("boot");
  Out.ClockMs = Source.at("clock_ms");
  Out.Epoch = Source.at("epoch");
  for (const json &Each : Source.at("running"))
    Out.Running.push_back({.Id = idFromJson(Each.at("id")),
                           .Used = table::resourcesFromJson(Each.at("used"))});
  for (const json &Each : Source.at("ended"))
    Out.Ended.push_back(endedFromJson(Each));
  return Out;
}

} // namespace

std::string toText(const SyncRequest &Request) {
  json Out = {{"shard", Request.Shard},
              {"epoch", Request.Epoch},
              {"sequence", Request.Sequence},
              {"boot", Request.Boot},
              {"lease_until_ms", Request.LeaseUntilMs},
              {"throttle", Request.ThrottlePercent},
              {"start", json::array()},
              {"stop", json::array()},
              {"ack", json::array()}};
  for (const StartCommand &Each : Request.Start)
    Out["start"].push_back(startToJson(Each));
  for (const StopCommand &Each : Request.Stop)
    Out["stop"].push_back(
        {{"id", idToJson(Each.Id)}, {"checkpoint", Each.Checkpoint}});
  for (const AttemptId &Each : Request.Acknowledge)
    Out["ack"].push_back(idToJson(Each));
  return Out.dump();
}

std::string toText(const SyncReport &Report) {
  json Out = {{"boot", Report.Boot},
              {"clock_ms", Report.ClockMs},
              {"epoch", Report.Epoch},
              {"running", json::array()},
              {"ended", json::array()}};
  for (const RunningReport &Each : Report.Running)
    Out["running"].push_back({{"id", idToJson(Each.Id)},
                              {"used", table::resourcesToJson(Each.Used)}});
  for (const EndedReport &Each : Report.Ended)
    Out["ended"].push_back(endedToJson(Each));
  return Out.dump();
}

Result<SyncRequest> syncRequestFromText(std::string_view Text) {
  try {
    return requestFromJson(json::parse(Text));
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

Result<SyncReport> syncReportFromText(std::string_view Text) {
  try {
    return reportFromJson(json::parse(Text));
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

std::string_view resultName(AttemptResult Value) {
  switch (Value) {
  case AttemptResult::Succeeded:
    return "succeeded";
  case AttemptResult::Failed:
    return "failed";
  case AttemptResult::Stopped:
    return "stopped";
  case AttemptResult::Lapsed:
    return "lapsed";
  }
  return "failed";
}

} // namespace daisylanding::worker
