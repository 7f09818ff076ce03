#include "worker/Protocol.h"

#include "table/Wire.h"

#include <nlohmann/json.hpp>

namespace daisylanding::worker {

using nlohmann::json;

namespace {

json idToJson(const AttemptId &Id) {
  return json::array({Id.Job, Id.Index, Id.Attempt});
}

AttemptId idFromJson(const json &Fields) {
  return {.Job = Fields.at(0), .Index = Fields.at(1), .Attempt = Fields.at(2)};
}

json startToJson(const StartCommand &Command) {
  return {{"id", idToJson(Command.Id)},
          {"size", table::resourcesToJson(Command.Size)},
          {"run_ms", Command.RunTime.count()},
          {"leased", Command.Leased},
          {"payload", Command.Payload}};
}

StartCommand startFromJson(const json &Object) {
  return {.Id = idFromJson(Object.at("id")),
          .Size = table::resourcesFromJson(Object.at("size")),
          .RunTime = Millis(Object.at("run_ms").get<int64_t>()),
          .Leased = Object.at("leased"),
          .Payload = Object.at("payload")};
}

json endedToJson(const EndedReport &Report) {
  return {{"id", idToJson(Report.Id)},
          {"result", static_cast<int>(Report.Result)},
          {"peak", table::resourcesToJson(Report.PeakUsage)},
          {"ran_ms", Report.RunTime.count()}};
}

EndedReport endedFromJson(const json &Object) {
  return {.Id = idFromJson(Object.at("id")),
          .Result = static_cast<AttemptResult>(Object.at("result").get<int>()),
          .PeakUsage = table::resourcesFromJson(Object.at("peak")),
          .RunTime = Millis(Object.at("ran_ms").get<int64_t>())};
}

SyncRequest requestFromJson(const json &Object) {
  SyncRequest Request;
  Request.Shard = Object.at("shard");
  Request.Epoch = Object.at("epoch");
  Request.Sequence = Object.at("sequence");
  Request.Boot = Object.at("boot");
  Request.LeaseEndMs = Object.at("lease_until_ms");
  Request.ThrottlePercent = Object.at("throttle");
  for (const json &Start : Object.at("start"))
    Request.Starts.push_back(startFromJson(Start));
  for (const json &Stop : Object.at("stop"))
    Request.Stops.push_back({.Id = idFromJson(Stop.at("id")),
                             .TakeCheckpoint = Stop.at("checkpoint")});
  for (const json &Id : Object.at("ack"))
    Request.Acknowledged.push_back(idFromJson(Id));
  return Request;
}

SyncReport reportFromJson(const json &Object) {
  SyncReport Report;
  Report.Boot = Object.at("boot");
  Report.ClockMs = Object.at("clock_ms");
  Report.Epoch = Object.at("epoch");
  for (const json &Running : Object.at("running"))
    Report.Running.push_back(
        {.Id = idFromJson(Running.at("id")),
         .Usage = table::resourcesFromJson(Running.at("used"))});
  for (const json &Ended : Object.at("ended"))
    Report.Ended.push_back(endedFromJson(Ended));
  return Report;
}

} // namespace

std::string toText(const SyncRequest &Request) {
  json Object = {{"shard", Request.Shard},
                 {"epoch", Request.Epoch},
                 {"sequence", Request.Sequence},
                 {"boot", Request.Boot},
                 {"lease_until_ms", Request.LeaseEndMs},
                 {"throttle", Request.ThrottlePercent},
                 {"start", json::array()},
                 {"stop", json::array()},
                 {"ack", json::array()}};
  for (const StartCommand &Start : Request.Starts)
    Object["start"].push_back(startToJson(Start));
  for (const StopCommand &Stop : Request.Stops)
    Object["stop"].push_back(
        {{"id", idToJson(Stop.Id)}, {"checkpoint", Stop.TakeCheckpoint}});
  for (const AttemptId &Id : Request.Acknowledged)
    Object["ack"].push_back(idToJson(Id));
  return Object.dump();
}

std::string toText(const SyncReport &Report) {
  json Object = {{"boot", Report.Boot},
                 {"clock_ms", Report.ClockMs},
                 {"epoch", Report.Epoch},
                 {"running", json::array()},
                 {"ended", json::array()}};
  for (const RunningReport &Running : Report.Running)
    Object["running"].push_back(
        {{"id", idToJson(Running.Id)},
         {"used", table::resourcesToJson(Running.Usage)}});
  for (const EndedReport &Ended : Report.Ended)
    Object["ended"].push_back(endedToJson(Ended));
  return Object.dump();
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

std::string_view resultName(AttemptResult Outcome) {
  switch (Outcome) {
  case AttemptResult::Succeeded:
    return "succeeded";
  case AttemptResult::Failed:
    return "failed";
  case AttemptResult::Stopped:
    return "stopped";
  case AttemptResult::Expired:
    return "lapsed";
  }
  return "failed";
}

} // namespace daisylanding::worker
