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
  for (const config::SettingsProblem &Each : Problems)
    fmt::print(stderr, "{}\n", Each.text());
}

std::optional<config::Settings> load(const std::string &File) {
  std::vector<config::SettingsProblem> Problems;
  auto Options = config::loadSettings(File, Problems);
  printProblems(Problems);
  if (!Options)
    return std::nullopt;
  return *Options;
}

LogLevel levelOf(std::string_view Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warn")
    return LogLevel::Warn;
  return Name == "error" ? LogLevel::Error : LogLevel::Info;
}

std::optional<config::CellSettings> loadCell(const std::string &File) {
  std::vector<config::SettingsProblem> Problems;
  auto Options = config::loadCellSettings(File, Problems);
  printProblems(Problems);
  if (!Options)
    return std::nullopt;
  return *Options;
}

int runCell(const std::string &File) {
  auto Options = loadCell(File);
  if (!Options)
    return 1;
  setLogLevel(levelOf(Options->LogLevel));
  platform::PlatformPorts Platform(
      {.Store = Options->StoreAddress, .Advice = Options->AdviceAddress});
  return node::serveCell(*Options, Platform);
}

int runServe(std::span<char *> Words) {
  char *File = nullptr;
  const poptOption Table[] = {{"config", 'c', POPT_ARG_STRING,
                               static_cast<void *>(&File), 0,
                               "settings of this entry, TOML", "FILE"},
                              {nullptr, '\0', POPT_ARG_INCLUDE_TABLE,
                               poptHelpOptions, 0, "Help:", nullptr},
                              {nullptr, '\0', 0, nullptr, 0, nullptr, nullptr}};
  std::vector<const char *> Arguments = {"daisylanding serve"};
  Arguments.insert(Arguments.end(), Words.begin(), Words.end());
  poptContext Context =
      poptGetContext("daisylanding", static_cast<int>(Arguments.size()),
                     Arguments.data(), Table, 0);
  int Code = poptGetNextOpt(Context);
  bool Extra = poptPeekArg(Context) != nullptr;
  poptFreeContext(Context);
  std::string Config = File ? File : "";
  std::free(File);
  if (Code < -1 || Extra || Config.empty()) {
    fmt::print(stderr, "usage: daisylanding serve --config FILE\n");
    return UsageError;
  }
  if (config::isCellSettings(Config))
    return runCell(Config);
  auto Options = load(Config);
  if (!Options)
    return 1;
  setLogLevel(levelOf(Options->LogLevel));
  return entry::serve(*Options);
}

bool is(std::span<char *> Words, size_t Index, std::string_view Text) {
  return Index < Words.size() && Words[Index] == Text;
}

int runCheck(std::span<char *> Words) {
  bool Help = is(Words, 0, "--help");
  if (Words.size() != 1 || Help) {
    fmt::print(Help ? stdout : stderr,
               "usage: daisylanding config check FILE\n");
    return Help ? 0 : UsageError;
  }
  bool Valid = config::isCellSettings(Words[0]) ? loadCell(Words[0]).has_value()
                                                : load(Words[0]).has_value();
  if (!Valid)
    return 1;
  fmt::print("{}: ok\n", Words[0]);
  return 0;
}

} // namespace

int run(std::span<char *> Words) {
  if (is(Words, 0, "serve"))
    return runServe(Words.subspan(1));
  if (is(Words, 0, "config") && is(Words, 1, "check"))
    return runCheck(Words.subspan(2));
  return op::runClient(Words);
}

} // namespace daisylanding

int main(int Count, char **Words) {
  return daisylanding::run(
      std::span<char *>(Words + 1, static_cast<size_t>(Count - 1)));
}
