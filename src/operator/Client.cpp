#include "operator/Client.h"

#include "http/Client.h"
#include "operator/CommandLine.h"

#include <fmt/format.h>

#include <fstream>

namespace daisylanding::op {

using nlohmann::json;

namespace {

constexpr Millis CallTimeout{10'000};

/// Sends calls to one entry and keeps the exit code of the last.
class Session {
public:
  explicit Session(const Command &What) : What(What) {}

  /// The answer's document; nothing on failure, which is printed.
  std::optional<json> call(const std::string &Method, const std::string &Target,
                           const json &Body = {});
  std::optional<std::string> callText(const std::string &Target);
  int exitCode() const { return static_cast<int>(Exit); }

private:
  http::CallResult send(const std::string &Method, const std::string &Target,
                        std::string Body);
  void printFailure(const http::Response &Answer);

  const Command &What;
  http::Client Client;
  ExitCode Exit = ExitCode::Ok;
};

http::CallResult Session::send(const std::string &Method,
                               const std::string &Target, std::string Body) {
  http::Call Request;
  Request.Method = Method;
  Request.Url = "http://" + What.Entry + Target;
  Request.Body = std::move(Body);
  Request.Timeout = CallTimeout;
  Request.FreshConnection = true;
  Request.MaxResponseBytes = 64 << 20;
  http::CallResult Answer = Client.perform(Request);
  if (Answer)
    return Answer;
  bool Sent = Answer.error() != Errc::Unreachable;
  Exit = Sent && Method != "GET" ? ExitCode::Unknown : ExitCode::Unreachable;
  fmt::print(stderr, "{}: {}\n", What.Entry, Answer.error().message());
  return Answer;
}

void Session::printFailure(const http::Response &Answer) {
  json Document = json::parse(Answer.Body, nullptr, false);
  Exit = Answer.Status == http::StatusConflict     ? ExitCode::Conflict
         : Answer.Status == http::StatusBadGateway ? ExitCode::Unknown
                                                   : ExitCode::Failure;
  if (!Document.is_object()) {
    fmt::print(stderr, "status {}\n", Answer.Status);
    return;
  }
  if (What.Json) {
    fmt::print("{}\n", Document.dump(2));
    return;
  }
  std::string Line = Document.value("code", "unrecognized");
  if (Document.contains("field"))
    Line += ": " + Document.value("field", "");
  if (Document.contains("allowed"))
    Line += "; allowed: " + Document.value("allowed", "");
  fmt::print(stderr, "{}\n", Line);
}

std::optional<json> Session::call(const std::string &Method,
                                  const std::string &Target, const json &Body) {
  http::CallResult Answer =
      send(Method, Target, Body.is_null() ? "" : Body.dump());
  if (!Answer)
    return std::nullopt;
  if (Answer->Status >= http::StatusBadRequest) {
    printFailure(*Answer);
    return std::nullopt;
  }
  return json::parse(Answer->Body, nullptr, false);
}

std::optional<std::string> Session::callText(const std::string &Target) {
  http::CallResult Answer = send("GET", Target, "");
  if (!Answer)
    return std::nullopt;
  return std::move(Answer->Body);
}

/// Prints a document as indented `key: value` lines.
void printPlain(const json &Value, const std::string &Indent = "") {
  if (Value.is_object()) {
    for (const auto &Each : Value.items()) {
      if (Each.value().is_structured() && !Each.value().empty()) {
        fmt::print("{}{}:\n", Indent, Each.key());
        printPlain(Each.value(), Indent + "  ");
        continue;
      }
      fmt::print("{}{}: {}\n", Indent, Each.key(),
                 Each.value().is_string() ? Each.value().get<std::string>()
                                          : Each.value().dump());
    }
    return;
  }
  for (const json &Each : Value) {
    if (!Each.is_structured()) {
      fmt::print("{}- {}\n", Indent, Each.dump());
      continue;
    }
    fmt::print("{}-\n", Indent);
    printPlain(Each, Indent + "  ");
  }
}

void print(const Command &What, const json &Document) {
  if (What.Json)
    fmt::print("{}\n", Document.dump(2));
  else
    printPlain(Document);
}

int show(const Command &What, Session &Calls, const std::string &Target) {
  if (auto Document = Calls.call("GET", Target))
    print(What, *Document);
  return Calls.exitCode();
}

int changeConfig(const Command &What, Session &Calls) {
  json Change = What.Fields;
  Change["kind"] = What.Which->Change;
  Change["name"] = What.Argument;
  auto Expected = What.Own.find("expect-version");
  uint64_t Version = 0;
  if (Expected != What.Own.end()) {
    Version = std::stoull(Expected->second);
  } else {
    auto Newest = Calls.call("GET", "/v1/config?newest=yes");
    if (!Newest)
      return Calls.exitCode();
    Version = Newest->value("version", 0U);
  }
  json Body = {{"expect_version", Version}, {"change", Change}};
  if (auto Document = Calls.call("POST", "/v1/config/changes", Body))
    print(What, *Document);
  return Calls.exitCode();
}

int submitJob(const Command &What, Session &Calls) {
  json Spec = What.Fields;
  Spec["id"] = What.Argument;
  if (auto Document = Calls.call("POST", "/v1/jobs", Spec))
    print(What, *Document);
  return Calls.exitCode();
}

int stopJob(const Command &What, Session &Calls) {
  if (auto Document = Calls.call("POST", "/v1/jobs/" + What.Argument + "/stop"))
    print(What, *Document);
  return Calls.exitCode();
}

/// The Chrome trace-event form: each entry is a process, each event an
/// instant on it.
json traceOf(const json &Events) {
  json Out = json::array();
  std::map<std::string, int> Processes;
  for (const json &Each : Events) {
    std::string Entry = Each["entry"];
    auto Next = static_cast<int>(Processes.size() + 1);
    auto [Process, Added] = Processes.emplace(Entry, Next);
    if (Added)
      Out.push_back({{"ph", "M"},
                     {"name", "process_name"},
                     {"pid", Next},
                     {"args", {{"name", Entry}}}});
    Out.push_back({{"ph", "i"},
                   {"s", "p"},
                   {"name", Each["kind"]},
                   {"ts", Each["wall_us"]},
                   {"pid", Process->second},
                   {"tid", 1},
                   {"args",
                    {{"subject", Each["subject"]},
                     {"detail", Each["detail"]},
                     {"stamp", Each["stamp"]}}}});
  }
  return {{"traceEvents", Out}};
}

int showTimeline(const Command &What, Session &Calls) {
  std::string Target = "/v1/timeline";
  auto After = What.Own.find("after");
  if (After != What.Own.end())
    Target += "?after=" + After->second;
  auto Document = Calls.call("GET", Target);
  if (!Document)
    return Calls.exitCode();
  auto Trace = What.Own.find("trace");
  if (Trace != What.Own.end()) {
    std::ofstream File(Trace->second);
    File << traceOf((*Document)["events"]).dump();
    return File ? Calls.exitCode() : static_cast<int>(ExitCode::Failure);
  }
  if (What.Json) {
    print(What, *Document);
    return Calls.exitCode();
  }
  for (const json &Each : (*Document)["events"])
    fmt::print(
        "{} {} {} {} {}\n", Each["stamp"].get<uint64_t>(),
        Each["entry"].get<std::string>(), Each["kind"].get<std::string>(),
        Each["subject"].get<std::string>(), Each["detail"].get<std::string>());
  return Calls.exitCode();
}

int showMetrics(Session &Calls) {
  if (auto Text = Calls.callText("/metrics"))
    fmt::print("{}", *Text);
  return Calls.exitCode();
}

} // namespace

int runClient(std::span<char *> Words) {
  int Exit = 0;
  auto What = parseCommand(Words, Exit);
  if (!What)
    return Exit;
  Session Calls(*What);
  std::string_view Group = What->Which->Group;
  std::string_view Action = What->Which->Action;
  if (!What->Which->Change.empty())
    return changeConfig(*What, Calls);
  if (Group == "status")
    return show(*What, Calls, "/v1/status");
  if (Group == "config")
    return show(*What, Calls, "/v1/config");
  if (Group == "timeline")
    return showTimeline(*What, Calls);
  if (Group == "metrics")
    return showMetrics(Calls);
  if (Action == "submit")
    return submitJob(*What, Calls);
  if (Action == "stop")
    return stopJob(*What, Calls);
  if (Action == "list")
    return show(*What, Calls, "/v1/jobs");
  return show(*What, Calls, "/v1/jobs/" + What->Argument);
}

} // namespace daisylanding::op
