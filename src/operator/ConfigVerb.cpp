#include "operator/ConfigVerb.h"

#include "cell/ConfigChanges.h"
#include "common/Json.h"
#include "http/Client.h"
#include "node/ConfigDocument.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace daisylanding::op {

namespace {

using nlohmann::json;

constexpr Millis CallTimeout{10'000};
constexpr size_t MaxConfigBytes = 64 << 20;

std::optional<std::string> readText(const std::string &File) {
  std::ifstream Stream(File, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(Stream), {}};
  if (!Stream)
    return std::nullopt;
  return Text;
}

struct Problem {
  std::string Field;
  std::string Text;
};

/// What a check found.
struct CheckReport {
  uint64_t Version = 0;
  std::optional<uint64_t> RunningVersion;
  std::vector<Problem> Errors;
  std::vector<Problem> Warnings;
  std::vector<cell::ConfigChange> Changes;

  CheckExit exitCode() const {
    if (!Errors.empty())
      return CheckExit::Errors;
    return Warnings.empty() ? CheckExit::Ok : CheckExit::Warnings;
  }
};

/// A configuration that others are compared with.
struct RunningConfig {
  cell::CellConfig Config;
  bool HasKeys = false;
};

class ConfigCheck {
public:
  ConfigCheck(const ConfigCheckOptions &Options,
              const node::DocumentCodec &Codec)
      : Options(Options), Codec(Codec) {}

  CheckReport run() {
    auto Proposed = readProposed();
    if (!Proposed)
      return std::move(Report);
    Report.Version = Proposed->Version;
    for (const cell::ConfigFinding &Finding : cell::checkConfig(*Proposed))
      add(Finding);
    if (!Options.Against.empty())
      compareWithRunning(*Proposed);
    return std::move(Report);
  }

private:
  void add(const cell::ConfigFinding &Finding) {
    auto &List = Finding.Kind == cell::FindingKind::Error ? Report.Errors
                                                          : Report.Warnings;
    List.push_back({Codec.fieldPath(Finding.Place), Finding.Text});
  }

  /// As an entry reads it.
  std::optional<cell::CellConfig> readProposed() {
    auto Text = readText(Options.File);
    if (!Text) {
      Report.Errors.push_back({Options.File, "can't be read"});
      return std::nullopt;
    }
    std::vector<node::ConfigProblem> Problems;
    auto Config = Codec.parseConfig(*Text, Problems);
    for (const node::ConfigProblem &Found : Problems) {
      auto &List = Found.IsFatal ? Report.Errors : Report.Warnings;
      List.push_back({Found.Field, "allowed: " + Found.Allowed});
    }
    if (!Config)
      return std::nullopt;
    return std::move(*Config);
  }

  void compareWithRunning(const cell::CellConfig &Proposed) {
    auto Running = readRunning();
    if (!Running) {
      Report.Errors.push_back({Options.Against, "has no configuration, or "
                                                "doesn't answer"});
      return;
    }
    Report.RunningVersion = Running->Config.Version;
    Report.Changes = cell::findChanges(Running->Config, Proposed,
                                       {.KnowsKeys = Running->HasKeys});
    if (auto Finding =
            cell::checkVersion(Running->Config, Proposed, Report.Changes))
      add(*Finding);
  }

  std::optional<RunningConfig> readRunning() const {
    std::error_code Ignored;
    if (!std::filesystem::is_regular_file(Options.Against, Ignored))
      return fetchRunning();
    auto Text = readText(Options.Against);
    if (!Text)
      return std::nullopt;
    auto Config = Codec.parseConfig(*Text);
    if (!Config)
      return std::nullopt;
    return RunningConfig{.Config = std::move(*Config), .HasKeys = true};
  }

  std::optional<RunningConfig> fetchRunning() const {
    http::Client Client;
    http::Call Request;
    Request.Method = "GET";
    Request.Url = fmt::format("http://{}/v1/config", Options.Against);
    Request.Timeout = CallTimeout;
    Request.FreshConnection = true;
    Request.MaxResponseBytes = MaxConfigBytes;
    http::CallResult Outcome = Client.perform(Request);
    if (!Outcome || Outcome->Status != http::StatusOk)
      return std::nullopt;
    auto Config = node::configFromJson(parseJson(Outcome->Body));
    if (!Config)
      return std::nullopt;
    return RunningConfig{.Config = std::move(*Config)};
  }

  const ConfigCheckOptions &Options;
  const node::DocumentCodec &Codec;
  CheckReport Report;
};

json toJson(const std::vector<Problem> &Problems) {
  json List = json::array();
  for (const Problem &Listed : Problems)
    List.push_back({{"field", Listed.Field}, {"text", Listed.Text}});
  return List;
}

json toJson(const CheckReport &Report) {
  json Changes = json::array();
  for (const cell::ConfigChange &Change : Report.Changes)
    Changes.push_back({{"subject", Change.Subject},
                       {"what", Change.What},
                       {"from", Change.From},
                       {"to", Change.To}});
  json Document = {{"version", Report.Version},
                   {"errors", toJson(Report.Errors)},
                   {"warnings", toJson(Report.Warnings)},
                   {"changes", Changes}};
  if (Report.RunningVersion)
    Document["running_version"] = *Report.RunningVersion;
  return Document;
}

void printProblems(std::string_view Kind,
                   const std::vector<Problem> &Problems) {
  for (const Problem &Printed : Problems)
    fmt::print("{} {}: {}\n", Kind, Printed.Field, Printed.Text);
}

void printText(const ConfigCheckOptions &Options, const CheckReport &Report) {
  printProblems("error", Report.Errors);
  printProblems("warning", Report.Warnings);
  for (const cell::ConfigChange &Change : Report.Changes) {
    fmt::print("change {}: {}", Change.Subject, Change.What);
    if (!Change.From.empty() || !Change.To.empty())
      fmt::print(", {} -> {}", Change.From, Change.To);
    fmt::print("\n");
  }
  fmt::print("{}: version={} errors={} warnings={} changes={}\n", Options.File,
             Report.Version, Report.Errors.size(), Report.Warnings.size(),
             Report.Changes.size());
}

} // namespace

bool isConfigDocument(const std::string &File) {
  auto Text = readText(File);
  if (!Text)
    return false;
  // Settings are TOML, where no document begins with a brace.
  size_t First = Text->find_first_not_of(" \t\r\n");
  return First != std::string::npos && (*Text)[First] == '{';
}

int runConfigCheck(const ConfigCheckOptions &Options,
                   const node::DocumentCodec &Codec) {
  CheckReport Report = ConfigCheck(Options, Codec).run();
  if (Options.PrintJson)
    fmt::print("{}\n", toJson(Report).dump(2, ' ', false,
                                           json::error_handler_t::replace));
  else
    printText(Options, Report);
  return static_cast<int>(Report.exitCode());
}

} // namespace daisylanding::op
