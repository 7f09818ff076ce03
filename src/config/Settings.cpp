#include "config/Settings.h"

#include "config/Fields.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace daisylanding::config {

namespace {

/// Reads one table of the file; keys that nobody asked for are problems.
class Section {
public:
  Section(const toml::table &Root, std::string_view Name,
          const std::string &File, std::vector<SettingsProblem> &Problems)
      : Name(Name), File(File), Problems(Problems),
        Table(Root[Name].as_table()) {}

  Section(const Section &) = delete;
  Section &operator=(const Section &) = delete;

  ~Section() {
    if (!Table)
      return;
    for (const auto &Each : *Table) {
      if (!Known.count(Each.first.str()))
        report(Errc::UnknownKey, Each.first.str(), &Each.second,
               fmt::format("one of {}", fmt::join(Known, ", ")));
    }
  }

  void name(std::string_view Key, std::string &Out) {
    const toml::node *Node = find(Key);
    auto Value = Node ? Node->value_exact<std::string>() : std::nullopt;
    if (Value && isName(*Value))
      Out = *Value;
    else
      report(Node ? Errc::OutOfRange : Errc::NotFound, Key, Node,
             "1 to 128 letters, digits, '.', '_' or '-'");
  }

  template <typename Number>
  void integer(std::string_view Key, Number &Out, int64_t Lowest,
               int64_t Highest) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    auto Value = Node->value_exact<int64_t>();
    if (Value && *Value >= Lowest && *Value <= Highest)
      Out = static_cast<Number>(*Value);
    else
      report(Errc::OutOfRange, Key, Node,
             fmt::format("a whole number from {} to {}", Lowest, Highest));
  }

  void millis(std::string_view Key, Millis &Out, int64_t Lowest,
              int64_t Highest) {
    int64_t Value = Out.count();
    integer(Key, Value, Lowest, Highest);
    Out = Millis(Value);
  }

  void listen(std::string_view Key, Listen &Out) {
    const toml::node *Node = find(Key);
    auto Value = Node ? Node->value_exact<std::string>() : std::nullopt;
    if (Value && parseListen(*Value, Out))
      return;
    report(Node ? Errc::OutOfRange : Errc::NotFound, Key, Node,
           "an IP number and a port from 1 to 65535, as 127.0.0.1:8080");
  }

  void url(std::string_view Key, std::string &Out) {
    const toml::node *Node = find(Key);
    auto Value = Node ? Node->value_exact<std::string>() : std::nullopt;
    if (Value && Value->rfind("http", 0) == 0)
      Out = *Value;
    else
      report(Node ? Errc::OutOfRange : Errc::NotFound, Key, Node,
             "an http or https URL");
  }

  void addresses(std::string_view Key, std::vector<std::string> &Out) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    const toml::array *List = Node->as_array();
    if (!List) {
      report(Errc::OutOfRange, Key, Node, "a list of IP:port");
      return;
    }
    for (const toml::node &Each : *List) {
      Listen Parsed;
      auto Value = Each.value_exact<std::string>();
      if (Value && parseListen(*Value, Parsed))
        Out.push_back(*Value);
      else
        report(Errc::OutOfRange, Key, &Each, "IP:port, as 127.0.0.1:8080");
    }
  }

  void choice(std::string_view Key, std::string &Out,
              std::vector<std::string_view> Choices) {
    const toml::node *Node = find(Key);
    if (!Node)
      return;
    auto Value = Node->value_exact<std::string>();
    for (std::string_view Each : Choices) {
      if (Value && *Value == Each) {
        Out = *Value;
        return;
      }
    }
    report(Errc::OutOfRange, Key, Node,
           fmt::format("one of {}", fmt::join(Choices, ", ")));
  }

private:
  static bool parseListen(std::string_view Text, Listen &Out) {
    size_t Colon = Text.rfind(':');
    if (Colon == std::string_view::npos || Colon == 0)
      return false;
    std::string_view Digits = Text.substr(Colon + 1);
    uint32_t Port = 0;
    auto Parsed =
        std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
    constexpr uint32_t HighestPort = 65'535;
    if (Parsed.ec != std::errc() || Parsed.ptr != Digits.end() || Port == 0 ||
        Port > HighestPort)
      return false;
    Out.Address = Text.substr(0, Colon);
    Out.Port = static_cast<uint16_t>(Port);
    return true;
  }

  const toml::node *find(std::string_view Key) {
    Known.emplace(Key);
    return Table ? Table->get(Key) : nullptr;
  }

  void report(Errc Code, std::string_view Key, const toml::node *Node,
              std::string Allowed) {
    uint32_t Line = 0;
    if (Node)
      Line = Node->source().begin.line;
    else if (Table)
      Line = Table->source().begin.line;
    Problems.push_back({.Code = Code,
                        .File = File,
                        .Line = Line,
                        .Key = fmt::format("{}.{}", Name, Key),
                        .Allowed = std::move(Allowed)});
  }

  std::string Name;
  const std::string &File;
  std::vector<SettingsProblem> &Problems;
  const toml::table *Table;
  std::set<std::string, std::less<>> Known;
};

constexpr int64_t OneMinuteMs = 60'000;
constexpr int64_t OneHourMs = 3'600'000;

void readEntry(const toml::table &Root, const std::string &File,
               std::vector<SettingsProblem> &Problems, Settings &Out) {
  Section Entry(Root, "entry", File, Problems);
  Entry.name("deployment", Out.Deployment);
  Entry.name("name", Out.Name);
  Entry.name("zone", Out.AvailabilityZone);
  Entry.millis("drain_limit_ms", Out.DrainLimit, 0, OneHourMs);
  Entry.choice("log_level", Out.LogLevel, {"debug", "info", "warn", "error"});
}

void readListeners(const toml::table &Root, const std::string &File,
                   std::vector<SettingsProblem> &Problems, Settings &Out) {
  constexpr int64_t MaxBody = 64 << 20;
  Section Callers(Root, "callers", File, Problems);
  Callers.listen("listen", Out.Callers);
  Callers.integer("max_body_bytes", Out.MaxBodyBytes, 1, MaxBody);
  Callers.integer("max_header_bytes", Out.MaxHeaderBytes, 256, 65'536);
  Callers.integer("max_connections", Out.MaxConnections, 1, 65'536);
  Callers.integer("max_waiting", Out.MaxWaiting, 1, 1'000'000);
  Section Operators(Root, "operators", File, Problems);
  Operators.listen("listen", Out.Operators);
  Section Peers(Root, "peers", File, Problems);
  Peers.listen("listen", Out.Peers);
  Peers.addresses("seeds", Out.PeerSeeds);
}

void readPlatform(const toml::table &Root, const std::string &File,
                  std::vector<SettingsProblem> &Problems, Settings &Out) {
  Section Platform(Root, "platform", File, Problems);
  Platform.url("url", Out.PlatformUrl);
  Platform.millis("timeout_ms", Out.PlatformTimeout, 10, OneMinuteMs);
  Platform.integer("writes_per_second", Out.WritesPerSecond, 1, 10'000);
  Platform.millis("list_poll_ms", Out.ListPoll, 10, 2'000);
  Platform.millis("config_poll_ms", Out.ConfigPoll, 10, 5'000);
  Platform.millis("heartbeat_ms", Out.Heartbeat, 50, OneMinuteMs);
  Platform.millis("takeover_after_ms", Out.TakeoverAfter, 200, OneHourMs);
  Platform.millis("zone_lost_after_ms", Out.ZoneLostAfter, 1'000, OneHourMs);
  Platform.integer("shards_per_zone", Out.ShardsPerZone, 1, 64);
  Section Workers(Root, "workers", File, Problems);
  Workers.millis("sync_ms", Out.WorkerSync, 50, OneMinuteMs);
  Workers.millis("lease_ms", Out.WorkerLease, 500, OneHourMs);
  Workers.millis("lease_margin_ms", Out.LeaseMargin, 0, OneMinuteMs);
}

void rejectUnknownSections(const toml::table &Root, const std::string &File,
                           std::vector<SettingsProblem> &Problems) {
  const std::set<std::string_view> Sections = {"entry", "callers",  "operators",
                                               "peers", "platform", "workers"};
  for (const auto &Each : Root) {
    if (Sections.count(Each.first.str()) && Each.second.is_table())
      continue;
    Problems.push_back({.Code = Errc::UnknownKey,
                        .File = File,
                        .Line = Each.second.source().begin.line,
                        .Key = std::string(Each.first.str()),
                        .Allowed = fmt::format("a table, one of {}",
                                               fmt::join(Sections, ", "))});
  }
}

} // namespace

std::string Listen::text() const { return fmt::format("{}:{}", Address, Port); }

std::string SettingsProblem::text() const {
  return fmt::format("{}:{}: {}: {}; allowed: {}", File, Line, Key,
                     make_error_code(Code).message(), Allowed);
}

Result<Settings> parseSettings(std::string_view Text, const std::string &File,
                               std::vector<SettingsProblem> &Problems) {
  toml::table Root;
  try {
    Root = toml::parse(Text);
  } catch (const toml::parse_error &Failure) {
    Problems.push_back({.Code = Errc::Malformed,
                        .File = File,
                        .Line = Failure.source().begin.line,
                        .Key = "(syntax)",
                        .Allowed = std::string(Failure.description())});
    return Errc::Malformed;
  }
  Settings Out;
  rejectUnknownSections(Root, File, Problems);
  readEntry(Root, File, Problems, Out);
  readListeners(Root, File, Problems, Out);
  readPlatform(Root, File, Problems, Out);
  if (!Problems.empty())
    return Problems.front().Code;
  return Out;
}

Result<Settings> loadSettings(const std::string &File,
                              std::vector<SettingsProblem> &Problems) {
  std::ifstream Stream(File);
  if (!Stream) {
    Problems.push_back({.Code = Errc::NotFound,
                        .File = File,
                        .Key = "(file)",
                        .Allowed = "a readable file"});
    return Errc::NotFound;
  }
  std::stringstream Text;
  Text << Stream.rdbuf();
  return parseSettings(Text.str(), File, Problems);
}

} // namespace daisylanding::config
