#include "common/Log.h"
#include "config/CellSettings.h"
#include "entry/Entry.h"
#include "node/Node.h"
#include "operator/Client.h"
#include "operator/ConfigVerb.h"
#include "platform/PlatformPorts.h"

#include <fmt/format.h>
#include <popt.h>

#include <cstdlib>
#include <optional>
#include <span>
#include <vector>

namespace daisylanding {

namespace {

constexpr int UsageError = 2;

void printProblems(std::span<const config::SettingsProblem> Problems) {
  for (const config::SettingsProblem &Problem : Problems)
    fmt::print(stderr, "{}\n", Problem.text());
}

std::optional<config::Settings> loadEntrySettings(const std::string &File) {
  std::vector<config::SettingsProblem> Problems;
  auto Options = config::loadSettings(File, Problems);
  printProblems(Problems);
  if (!Options)
    return std::nullopt;
  return *Options;
}

LogLevel parseLogLevel(std::string_view Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warn")
    return LogLevel::Warn;
  return Name == "error" ? LogLevel::Error : LogLevel::Info;
}

std::optional<config::CellSettings> loadCellSettings(const std::string &File) {
  std::vector<config::SettingsProblem> Problems;
  auto Options = config::loadCellSettings(File, Problems);
  printProblems(Problems);
  if (!Options)
    return std::nullopt;
  return *Options;
}

int runCell(const std::string &File) {
  auto Options = loadCellSettings(File);
  if (!Options)
    return 1;
  setLogLevel(parseLogLevel(Options->LogLevel));
  platform::PlatformPorts Ports(
      {.Store = Options->StoreAddress, .Advice = Options->AdviceAddress});
  return node::serveCell(*Options, Ports);
}

int runServe(std::span<char *> Arguments) {
  char *File = nullptr;
  const poptOption Table[] = {{"config", 'c', POPT_ARG_STRING,
                               static_cast<void *>(&File), 0,
                               "settings of this entry, TOML", "FILE"},
                              {nullptr, '\0', POPT_ARG_INCLUDE_TABLE,
                               poptHelpOptions, 0, "Help:", nullptr},
                              {nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  std::vector<const char *> CommandLine = {"daisylanding serve"};
  CommandLine.insert(CommandLine.end(), Arguments.begin(), Arguments.end());
  poptContext Context =
      poptGetContext("daisylanding", static_cast<int>(CommandLine.size()),
                     CommandLine.data(), Table, 0);
  int Code = poptGetNextOpt(Context);
  bool HasExtraArgument = poptPeekArg(Context) != nullptr;
  poptFreeContext(Context);
  std::string Config = File ? File : "";
  std::free(File);
  if (Code < -1 || HasExtraArgument || Config.empty()) {
    fmt::print(stderr, "usage: daisylanding serve --config FILE\n");
    return UsageError;
  }
  if (config::isCellSettings(Config))
    return runCell(Config);
  auto Options = loadEntrySettings(Config);
  if (!Options)
    return 1;
  setLogLevel(parseLogLevel(Options->LogLevel));
  return entry::serve(*Options);
}

bool isArgument(std::span<char *> Arguments, size_t Index,
                std::string_view Text) {
  return Index < Arguments.size() && Arguments[Index] == Text;
}

int checkSettings(const std::string &File) {
  bool Valid = config::isCellSettings(File)
                   ? loadCellSettings(File).has_value()
                   : loadEntrySettings(File).has_value();
  if (!Valid)
    return 1;
  fmt::print("{}: ok\n", File);
  return 0;
}

/// The arguments of `config check`; nullopt if they are wrong.
std::optional<op::ConfigCheckOptions>
parseCheckOptions(std::span<char *> Arguments) {
  char *Against = nullptr;
  int PrintJson = 0;
  const poptOption Table[] = {
      {"against", 'a', POPT_ARG_STRING, static_cast<void *>(&Against), 0,
       nullptr, nullptr},
      {"json", 'j', POPT_ARG_NONE, static_cast<void *>(&PrintJson), 0, nullptr,
       nullptr},
      {nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  std::vector<const char *> CommandLine = {"daisylanding config check"};
  CommandLine.insert(CommandLine.end(), Arguments.begin(), Arguments.end());
  poptContext Context =
      poptGetContext("daisylanding", static_cast<int>(CommandLine.size()),
                     CommandLine.data(), Table, 0);
  int Code = poptGetNextOpt(Context);
  const char *File = poptGetArg(Context);
  bool IsValid = Code == -1 && File && !poptPeekArg(Context);
  op::ConfigCheckOptions Options{.File = File ? File : "",
                                 .Against = Against ? Against : "",
                                 .PrintJson = PrintJson != 0};
  std::free(Against);
  poptFreeContext(Context);
  if (!IsValid)
    return std::nullopt;
  return Options;
}

/// Checks a settings file, or a document of the operator's configuration.
int runCheck(std::span<char *> Arguments) {
  bool Help = isArgument(Arguments, 0, "--help");
  auto Options = parseCheckOptions(Arguments);
  if (Options && op::isConfigDocument(Options->File))
    return op::runConfigCheck(*Options, platform::PlatformDocumentCodec());
  bool IsPlain = Options && Options->Against.empty() && !Options->PrintJson;
  if (IsPlain)
    return checkSettings(Options->File);
  fmt::print(Help ? stdout : stderr, "usage: daisylanding config check FILE "
                                     "[--against FILE|HOST:PORT] [--json]\n");
  return Help ? 0 : UsageError;
}

} // namespace

int run(std::span<char *> Arguments) {
  if (isArgument(Arguments, 0, "serve"))
    return runServe(Arguments.subspan(1));
  if (isArgument(Arguments, 0, "config") && isArgument(Arguments, 1, "check"))
    return runCheck(Arguments.subspan(2));
  return op::runClient(Arguments);
}

} // namespace daisylanding

int main(int Count, char **Arguments) {
  return daisylanding::run(
      std::span<char *>(Arguments + 1, static_cast<size_t>(Count - 1)));
}
