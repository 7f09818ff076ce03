#include "common/Log.h"
#include "config/CellSettings.h"
#include "entry/Entry.h"
#include "node/Node.h"
#include "operator/Client.h"
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

int runCheck(std::span<char *> Arguments) {
  bool Help = isArgument(Arguments, 0, "--help");
  if (Arguments.size() != 1 || Help) {
    fmt::print(Help ? stdout : stderr,
               "usage: daisylanding config check FILE\n");
    return Help ? 0 : UsageError;
  }
  bool Valid = config::isCellSettings(Arguments[0])
                   ? loadCellSettings(Arguments[0]).has_value()
                   : loadEntrySettings(Arguments[0]).has_value();
  if (!Valid)
    return 1;
  fmt::print("{}: ok\n", Arguments[0]);
  return 0;
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
