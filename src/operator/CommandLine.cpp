#include "operator/CommandLine.h"

#include "operator/Client.h"

#include <fmt/format.h>
#include <popt.h>

#include <charconv>
#include <cstring>

namespace daisylanding::op {

namespace {

/// Options for popt with the strings that they point to, which must outlive the
/// popt context.
struct OptionTable {
  std::vector<std::string> Names;
  std::vector<std::string> HelpTexts;
  std::vector<poptOption> PoptOptions;
};

constexpr int EntryOptionCode = 1;
constexpr int JsonOptionCode = 2;
constexpr int FirstVerbOptionCode = 3;

OptionTable makeOptionTable(const Verb &RequestedVerb) {
  OptionTable Table;
  size_t OptionCount = RequestedVerb.Options.size();
  Table.Names.reserve(OptionCount);
  Table.HelpTexts.reserve(OptionCount);
  Table.PoptOptions.push_back(
      {"entry", 'e', POPT_ARG_STRING, nullptr, EntryOptionCode,
       "operator API address of an entry", "HOST:PORT"});
  Table.PoptOptions.push_back({"json", 'j', POPT_ARG_NONE, nullptr,
                               JsonOptionCode, "print JSON", nullptr});
  for (size_t Index = 0; Index < OptionCount; ++Index) {
    const VerbOption &Option = RequestedVerb.Options[Index];
    Table.Names.emplace_back(Option.Name);
    Table.HelpTexts.emplace_back(Option.Help);
    Table.PoptOptions.push_back({Table.Names.back().c_str(), '\0',
                                 POPT_ARG_STRING, nullptr,
                                 FirstVerbOptionCode + static_cast<int>(Index),
                                 Table.HelpTexts.back().c_str(), "VALUE"});
  }
  Table.PoptOptions.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE,
                               poptHelpOptions, 0, "Help:", nullptr});
  Table.PoptOptions.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  return Table;
}

bool parseInteger(std::string_view Text, nlohmann::json &Value) {
  int64_t Number = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  Value = Number;
  return Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size();
}

bool parseFraction(const std::string &Text, nlohmann::json &Value) {
  char *End = nullptr;
  double Number = std::strtod(Text.c_str(), &End);
  Value = Number;
  return !Text.empty() && *End == '\0';
}

bool storeOption(const VerbOption &Option, const std::string &Text,
                 Command &Cmd) {
  nlohmann::json Value = Text;
  bool Valid = true;
  if (Option.Kind == OptionKind::Number)
    Valid = parseInteger(Text, Value);
  else if (Option.Kind == OptionKind::Fraction)
    Valid = parseFraction(Text, Value);
  if (!Valid) {
    fmt::print(stderr, "--{}: {} is not a number\n", Option.Name, Text);
    return false;
  }
  if (Option.BodyField.empty())
    Cmd.ClientOptions[std::string(Option.Name)] = Text;
  else
    Cmd.BodyFields[std::string(Option.BodyField)] = Value;
  return true;
}

void printUsage() {
  fmt::print("usage: daisylanding VERB [OPTIONS]\n\n"
             "  serve --config FILE         run the entry daemon\n"
             "  config check FILE           check settings, or a cell's "
             "configuration\n");
  for (const Verb &ListedVerb : allVerbs())
    fmt::print("  {:<27} {}\n",
               fmt::format("{} {} {}", ListedVerb.Group, ListedVerb.Action,
                           ListedVerb.ArgumentName),
               ListedVerb.Help);
  fmt::print("\nRun a verb with --help to list its options.\n");
}

bool isHelpRequest(std::string_view Argument) {
  return Argument == "--help" || Argument == "-h" || Argument == "help";
}

const Verb *selectVerb(std::span<char *> Arguments, size_t &ConsumedCount) {
  if (Arguments.empty())
    return nullptr;
  ConsumedCount = 2;
  if (Arguments.size() >= ConsumedCount) {
    if (const Verb *TwoWordVerb = findVerb(Arguments[0], Arguments[1]))
      return TwoWordVerb;
  }
  ConsumedCount = 1;
  return findVerb(Arguments[0], "");
}

bool parseOptions(poptContext Context, Command &Cmd) {
  int OptionCode = 0;
  while ((OptionCode = poptGetNextOpt(Context)) > 0) {
    char *Value = poptGetOptArg(Context);
    std::string Text = Value ? Value : "";
    std::free(Value);
    if (OptionCode == EntryOptionCode)
      Cmd.EntryAddress = Text;
    else if (OptionCode == JsonOptionCode)
      Cmd.PrintJson = true;
    else if (!storeOption(
                 Cmd.SelectedVerb->Options[OptionCode - FirstVerbOptionCode],
                 Text, Cmd))
      return false;
  }
  if (OptionCode < -1) {
    fmt::print(stderr, "{}: {}\n", poptBadOption(Context, 0),
               poptStrerror(OptionCode));
    return false;
  }
  const char *PositionalArgument = poptGetArg(Context);
  Cmd.Argument = PositionalArgument ? PositionalArgument : "";
  bool HasExtraArgument = poptPeekArg(Context) != nullptr;
  bool ArgumentExpected = !Cmd.SelectedVerb->ArgumentName.empty();
  if (HasExtraArgument || ArgumentExpected == Cmd.Argument.empty()) {
    fmt::print(stderr, "{} {}: expects {}\n", Cmd.SelectedVerb->Group,
               Cmd.SelectedVerb->Action,
               ArgumentExpected ? Cmd.SelectedVerb->ArgumentName
                                : "no argument");
    return false;
  }
  return true;
}

} // namespace

std::optional<Command> parseCommand(std::span<char *> Arguments,
                                    int &ExitStatus) {
  ExitStatus = static_cast<int>(ExitCode::Usage);
  if (Arguments.empty() || isHelpRequest(Arguments[0])) {
    printUsage();
    ExitStatus =
        Arguments.empty() ? ExitStatus : static_cast<int>(ExitCode::Ok);
    return std::nullopt;
  }
  size_t ConsumedCount = 0;
  Command Cmd;
  Cmd.SelectedVerb = selectVerb(Arguments, ConsumedCount);
  if (!Cmd.SelectedVerb) {
    fmt::print(stderr, "unknown verb; see daisylanding --help\n");
    return std::nullopt;
  }
  OptionTable OptionDefinitions = makeOptionTable(*Cmd.SelectedVerb);
  std::string CommandName = fmt::format(
      "daisylanding {} {}", Cmd.SelectedVerb->Group, Cmd.SelectedVerb->Action);
  std::vector<const char *> PoptArguments = {CommandName.c_str()};
  PoptArguments.insert(PoptArguments.end(),
                       Arguments.begin() +
                           static_cast<std::ptrdiff_t>(ConsumedCount),
                       Arguments.end());
  poptContext Context = poptGetContext(
      CommandName.c_str(), static_cast<int>(PoptArguments.size()),
      PoptArguments.data(), OptionDefinitions.PoptOptions.data(), 0);
  std::string Usage = fmt::format("{}\n  {}", Cmd.SelectedVerb->ArgumentName,
                                  Cmd.SelectedVerb->Help);
  poptSetOtherOptionHelp(Context, Usage.c_str());
  bool Parsed = parseOptions(Context, Cmd);
  poptFreeContext(Context);
  if (!Parsed)
    return std::nullopt;
  ExitStatus = static_cast<int>(ExitCode::Ok);
  return Cmd;
}

} // namespace daisylanding::op
