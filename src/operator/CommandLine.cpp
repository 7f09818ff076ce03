#include "operator/CommandLine.h"

#include "operator/Client.h"

#include <fmt/format.h>
#include <popt.h>

#include <charconv>
#include <cstring>

namespace daisylanding::op {

namespace {

/// popt wants C strings that outlive the context.
struct OptionTable {
  std::vector<std::string> Names;
  std::vector<std::string> Helps;
  std::vector<poptOption> Table;
};

constexpr int EntryOption = 1;
constexpr int JsonOption = 2;
constexpr int FirstVerbOption = 3;

OptionTable makeTable(const Verb &Which) {
  OptionTable Out;
  size_t Count = Which.Options.size();
  Out.Names.reserve(Count);
  Out.Helps.reserve(Count);
  Out.Table.push_back({"entry", 'e', POPT_ARG_STRING, nullptr, EntryOption,
                       "operators' address of an entry", "HOST:PORT"});
  Out.Table.push_back(
      {"json", 'j', POPT_ARG_NONE, nullptr, JsonOption, "print JSON", nullptr});
  for (size_t I = 0; I < Count; ++I) {
    const VerbOption &Each = Which.Options[I];
    Out.Names.emplace_back(Each.Name);
    Out.Helps.emplace_back(Each.Help);
    Out.Table.push_back({Out.Names.back().c_str(), '\0', POPT_ARG_STRING,
                         nullptr, FirstVerbOption + static_cast<int>(I),
                         Out.Helps.back().c_str(), "VALUE"});
  }
  Out.Table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions,
                       0, "Help:", nullptr});
  Out.Table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  return Out;
}

bool isNumber(std::string_view Text, nlohmann::json &Value) {
  int64_t Number = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  Value = Number;
  return Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size();
}

bool isFraction(const std::string &Text, nlohmann::json &Value) {
  char *End = nullptr;
  double Number = std::strtod(Text.c_str(), &End);
  Value = Number;
  return !Text.empty() && *End == '\0';
}

bool store(const VerbOption &Option, const std::string &Text, Command &Out) {
  nlohmann::json Value = Text;
  bool Valid = true;
  if (Option.Kind == OptionKind::Number)
    Valid = isNumber(Text, Value);
  else if (Option.Kind == OptionKind::Fraction)
    Valid = isFraction(Text, Value);
  if (!Valid) {
    fmt::print(stderr, "--{}: {} is not a number\n", Option.Name, Text);
    return false;
  }
  if (Option.Field.empty())
    Out.Own[std::string(Option.Name)] = Text;
  else
    Out.Fields[std::string(Option.Field)] = Value;
  return true;
}

void printOverview() {
  fmt::print("usage: daisylanding VERB [OPTIONS]\n\n"
             "  serve --config FILE         run the entry daemon\n"
             "  config check FILE           check a settings file\n");
  for (const Verb &Each : allVerbs())
    fmt::print("  {:<27} {}\n",
               fmt::format("{} {} {}", Each.Group, Each.Action, Each.Argument),
               Each.Help);
  fmt::print("\nEach verb explains its options with --help.\n");
}

bool isHelp(std::string_view Word) {
  return Word == "--help" || Word == "-h" || Word == "help";
}

const Verb *verbOf(std::span<char *> Words, size_t &Used) {
  if (Words.empty())
    return nullptr;
  Used = 1;
  if (const Verb *Single = findVerb(Words[0], ""))
    return Single;
  if (Words.size() < 2)
    return nullptr;
  Used = 2;
  return findVerb(Words[0], Words[1]);
}

bool readOptions(poptContext Context, Command &Out) {
  int Code = 0;
  while ((Code = poptGetNextOpt(Context)) > 0) {
    char *Value = poptGetOptArg(Context);
    std::string Text = Value ? Value : "";
    std::free(Value);
    if (Code == EntryOption)
      Out.Entry = Text;
    else if (Code == JsonOption)
      Out.Json = true;
    else if (!store(Out.Which->Options[Code - FirstVerbOption], Text, Out))
      return false;
  }
  if (Code < -1) {
    fmt::print(stderr, "{}: {}\n", poptBadOption(Context, 0),
               poptStrerror(Code));
    return false;
  }
  const char *Word = poptGetArg(Context);
  Out.Argument = Word ? Word : "";
  bool Extra = poptPeekArg(Context) != nullptr;
  bool Wanted = !Out.Which->Argument.empty();
  if (Extra || Wanted == Out.Argument.empty()) {
    fmt::print(stderr, "{} {}: expects {}\n", Out.Which->Group,
               Out.Which->Action, Wanted ? Out.Which->Argument : "no argument");
    return false;
  }
  return true;
}

} // namespace

std::optional<Command> parseCommand(std::span<char *> Words, int &Exit) {
  Exit = static_cast<int>(ExitCode::Usage);
  if (Words.empty() || isHelp(Words[0])) {
    printOverview();
    Exit = Words.empty() ? Exit : static_cast<int>(ExitCode::Ok);
    return std::nullopt;
  }
  size_t Used = 0;
  Command Out;
  Out.Which = verbOf(Words, Used);
  if (!Out.Which) {
    fmt::print(stderr, "unknown verb; see daisylanding --help\n");
    return std::nullopt;
  }
  OptionTable Options = makeTable(*Out.Which);
  std::string Name =
      fmt::format("daisylanding {} {}", Out.Which->Group, Out.Which->Action);
  std::vector<const char *> Arguments = {Name.c_str()};
  Arguments.insert(Arguments.end(),
                   Words.begin() + static_cast<std::ptrdiff_t>(Used),
                   Words.end());
  poptContext Context =
      poptGetContext(Name.c_str(), static_cast<int>(Arguments.size()),
                     Arguments.data(), Options.Table.data(), 0);
  std::string Usage =
      fmt::format("{}\n  {}", Out.Which->Argument, Out.Which->Help);
  poptSetOtherOptionHelp(Context, Usage.c_str());
  bool Read = readOptions(Context, Out);
  poptFreeContext(Context);
  if (!Read)
    return std::nullopt;
  Exit = static_cast<int>(ExitCode::Ok);
  return Out;
}

} // namespace daisylanding::op
