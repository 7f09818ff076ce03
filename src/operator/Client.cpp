#include "operator/Client.h"

#include "http/Client.h"
#include "operator/CommandLine.h"
#include "operator/FiguresText.h"

#include <fmt/format.h>

#include <fstream>

namespace daisylanding::op {

using nlohmann::json;

namespace {

constexpr Millis CallTimeout{10'000};

/// Sends calls to one entry and keeps the exit code of the last failure.
class EntryClient {
public:
  explicit EntryClient(const Command &Cmd) : Cmd(Cmd) {}

  /// Returns the response document. Prints a failure and returns nothing.
  std::optional<json> requestJson(const std::string &Method,
                                  const std::string &Target,
                                  const json &Body = {});
  std::optional<std::string> requestText(const std::string &Target);
  int exitCode() const { return static_cast<int>(LastExitCode); }

private:
  http::CallResult send(const std::string &Method, const std::string &Target,
                        std::string Body);
  void printFailure(const http::Response &Response);

  const Command &Cmd;
  http::Client HttpClient;
  ExitCode LastExitCode = ExitCode::Ok;
};

http::CallResult EntryClient::send(const std::string &Method,
                                   const std::string &Target,
                                   std::string Body) {
  http::Call Request;
  Request.Method = Method;
  Request.Url = "http://" + Cmd.EntryAddress + Target;
  Request.Body = std::move(Body);
  Request.Timeout = CallTimeout;
  Request.FreshConnection = true;
  Request.MaxResponseBytes = 64 << 20;
  http::CallResult Outcome = HttpClient.perform(Request);
  if (Outcome)
    return Outcome;
  bool MayHaveArrived = Outcome.error() != Errc::Unreachable;
  LastExitCode = MayHaveArrived && Method != "GET" ? ExitCode::Unknown
                                                   : ExitCode::Unreachable;
  fmt::print(stderr, "{}: {}\n", Cmd.EntryAddress, Outcome.error().message());
  return Outcome;
}

void EntryClient::printFailure(const http::Response &Response) {
  json Document = json::parse(Response.Body, nullptr, false);
  LastExitCode = Response.Status == http::StatusConflict ? ExitCode::Conflict
                 : Response.Status == http::StatusBadGateway
                     ? ExitCode::Unknown
                     : ExitCode::Failure;
  if (!Document.is_object()) {
    fmt::print(stderr, "unrecognized response, HTTP status {}\n",
               Response.Status);
    return;
  }
  if (Cmd.PrintJson) {
    fmt::print("{}\n", Document.dump(2));
    return;
  }
  std::string Message = Document.value("code", "unrecognized");
  if (Document.contains("field"))
    Message += ": " + Document.value("field", "");
  if (Document.contains("allowed"))
    Message += "; allowed: " + Document.value("allowed", "");
  if (Document.contains("detail"))
    Message += "; " + Document.value("detail", "");
  fmt::print(stderr, "{}\n", Message);
  for (const std::string &Line : describeFigures(Document))
    fmt::print(stderr, "{}\n", Line);
}

std::optional<json> EntryClient::requestJson(const std::string &Method,
                                             const std::string &Target,
                                             const json &Body) {
  http::CallResult Outcome =
      send(Method, Target, Body.is_null() ? "" : Body.dump());
  if (!Outcome)
    return std::nullopt;
  if (Outcome->Status >= http::StatusBadRequest) {
    printFailure(*Outcome);
    return std::nullopt;
  }
  return json::parse(Outcome->Body, nullptr, false);
}

std::optional<std::string> EntryClient::requestText(const std::string &Target) {
  http::CallResult Outcome = send("GET", Target, "");
  if (!Outcome)
    return std::nullopt;
  return std::move(Outcome->Body);
}

/// Prints a document as indented `key: value` lines.
void printAsText(const json &Value, const std::string &Indent = "") {
  if (Value.is_object()) {
    for (const auto &Member : Value.items()) {
      if (Member.value().is_structured() && !Member.value().empty()) {
        fmt::print("{}{}:\n", Indent, Member.key());
        printAsText(Member.value(), Indent + "  ");
        continue;
      }
      fmt::print("{}{}: {}\n", Indent, Member.key(),
                 Member.value().is_string() ? Member.value().get<std::string>()
                                            : Member.value().dump());
    }
    return;
  }
  for (const json &Element : Value) {
    if (!Element.is_structured()) {
      fmt::print("{}- {}\n", Indent, Element.dump());
      continue;
    }
    fmt::print("{}-\n", Indent);
    printAsText(Element, Indent + "  ");
  }
}

void printDocument(const Command &Cmd, const json &Document) {
  if (Cmd.PrintJson) {
    fmt::print("{}\n", Document.dump(2));
    return;
  }
  for (const std::string &Line : describeFigures(Document))
    fmt::print("{}\n", Line);
  printAsText(Document);
}

int showDocument(const Command &Cmd, EntryClient &Client,
                 const std::string &Target) {
  if (auto Document = Client.requestJson("GET", Target))
    printDocument(Cmd, *Document);
  return Client.exitCode();
}

int changeConfig(const Command &Cmd, EntryClient &Client) {
  json Change = Cmd.BodyFields;
  Change["kind"] = Cmd.SelectedVerb->ChangeKind;
  Change["name"] = Cmd.Argument;
  auto ExpectVersionOption = Cmd.ClientOptions.find("expect-version");
  uint64_t ExpectedVersion = 0;
  if (ExpectVersionOption != Cmd.ClientOptions.end()) {
    ExpectedVersion = std::stoull(ExpectVersionOption->second);
  } else {
    auto NewestConfig = Client.requestJson("GET", "/v1/config?newest=yes");
    if (!NewestConfig)
      return Client.exitCode();
    ExpectedVersion = NewestConfig->value("version", 0U);
  }
  json Body = {{"expect_version", ExpectedVersion}, {"change", Change}};
  if (auto Document = Client.requestJson("POST", "/v1/config/changes", Body))
    printDocument(Cmd, *Document);
  return Client.exitCode();
}

int submitJob(const Command &Cmd, EntryClient &Client) {
  json JobSpec = Cmd.BodyFields;
  JobSpec["id"] = Cmd.Argument;
  if (auto Document = Client.requestJson("POST", "/v1/jobs", JobSpec))
    printDocument(Cmd, *Document);
  return Client.exitCode();
}

int stopJob(const Command &Cmd, EntryClient &Client) {
  if (auto Document =
          Client.requestJson("POST", "/v1/jobs/" + Cmd.Argument + "/stop"))
    printDocument(Cmd, *Document);
  return Client.exitCode();
}

/// Converts events to the Chrome trace-event format: each entry is a process,
/// each event an instant event of it.
json toChromeTrace(const json &Events) {
  json TraceEvents = json::array();
  std::map<std::string, int> ProcessIds;
  for (const json &Event : Events) {
    std::string EntryName = Event["entry"];
    auto NextId = static_cast<int>(ProcessIds.size() + 1);
    auto [Process, Inserted] = ProcessIds.emplace(EntryName, NextId);
    if (Inserted)
      TraceEvents.push_back({{"ph", "M"},
                             {"name", "process_name"},
                             {"pid", NextId},
                             {"args", {{"name", EntryName}}}});
    TraceEvents.push_back({{"ph", "i"},
                           {"s", "p"},
                           {"name", Event["kind"]},
                           {"ts", Event["wall_us"]},
                           {"pid", Process->second},
                           {"tid", 1},
                           {"args",
                            {{"subject", Event["subject"]},
                             {"detail", Event["detail"]},
                             {"stamp", Event["stamp"]}}}});
  }
  return {{"traceEvents", TraceEvents}};
}

int showTimeline(const Command &Cmd, EntryClient &Client) {
  std::string Target = "/v1/timeline";
  auto AfterOption = Cmd.ClientOptions.find("after");
  if (AfterOption != Cmd.ClientOptions.end())
    Target += "?after=" + AfterOption->second;
  auto Document = Client.requestJson("GET", Target);
  if (!Document)
    return Client.exitCode();
  auto TraceOption = Cmd.ClientOptions.find("trace");
  if (TraceOption != Cmd.ClientOptions.end()) {
    std::ofstream TraceFile(TraceOption->second);
    TraceFile << toChromeTrace((*Document)["events"]).dump();
    return TraceFile ? Client.exitCode() : static_cast<int>(ExitCode::Failure);
  }
  if (Cmd.PrintJson) {
    printDocument(Cmd, *Document);
    return Client.exitCode();
  }
  for (const json &Event : (*Document)["events"])
    fmt::print("{} {} {} {} {}\n", Event["stamp"].get<uint64_t>(),
               Event["entry"].get<std::string>(),
               Event["kind"].get<std::string>(),
               Event["subject"].get<std::string>(),
               Event["detail"].get<std::string>());
  return Client.exitCode();
}

int showMetrics(EntryClient &Client) {
  if (auto Text = Client.requestText("/metrics"))
    fmt::print("{}", *Text);
  return Client.exitCode();
}

} // namespace

int runClient(std::span<char *> Arguments) {
  int ExitStatus = 0;
  auto Cmd = parseCommand(Arguments, ExitStatus);
  if (!Cmd)
    return ExitStatus;
  EntryClient Client(*Cmd);
  std::string_view Group = Cmd->SelectedVerb->Group;
  std::string_view Action = Cmd->SelectedVerb->Action;
  if (!Cmd->SelectedVerb->ChangeKind.empty())
    return changeConfig(*Cmd, Client);
  if (Group == "status" && Action == "workspaces")
    return showDocument(*Cmd, Client, "/v1/workspaces");
  if (Group == "status")
    return showDocument(*Cmd, Client, "/v1/status");
  if (Group == "config")
    return showDocument(*Cmd, Client, "/v1/config");
  if (Group == "timeline")
    return showTimeline(*Cmd, Client);
  if (Group == "metrics")
    return showMetrics(Client);
  if (Action == "submit")
    return submitJob(*Cmd, Client);
  if (Action == "stop")
    return stopJob(*Cmd, Client);
  if (Action == "list")
    return showDocument(*Cmd, Client, "/v1/jobs");
  return showDocument(*Cmd, Client, "/v1/jobs/" + Cmd->Argument);
}

} // namespace daisylanding::op
