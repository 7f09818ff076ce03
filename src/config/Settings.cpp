#include "config/Settings.h"

#include "config/SectionReader.h"

#include <fmt/format.h>

#include <fstream>
#include <set>
#include <sstream>

namespace daisylanding::config {

namespace {

constexpr int64_t OneMinuteMs = 60'000;
constexpr int64_t OneHourMs = 3'600'000;

void readEntry(const toml::table &Root, const std::string &File,
               std::vector<SettingsProblem> &Problems, Settings &Parsed) {
  SectionReader EntrySection(Root, "entry", File, Problems);
  EntrySection.name("deployment", Parsed.Deployment);
  EntrySection.name("name", Parsed.Name);
  EntrySection.name("zone", Parsed.AvailabilityZone);
  EntrySection.millis("drain_limit_ms", Parsed.DrainLimit, 0, OneHourMs);
  EntrySection.choice("log_level", Parsed.LogLevel,
                      {"debug", "info", "warn", "error"});
}

void readListeners(const toml::table &Root, const std::string &File,
                   std::vector<SettingsProblem> &Problems, Settings &Parsed) {
  constexpr int64_t MaxBodyLimit = 64 << 20;
  SectionReader CallersSection(Root, "callers", File, Problems);
  CallersSection.listenAddress("listen", Parsed.CallerAddress);
  CallersSection.integer("max_body_bytes", Parsed.MaxBodyBytes, 1,
                         MaxBodyLimit);
  CallersSection.integer("max_header_bytes", Parsed.MaxHeaderBytes, 256,
                         65'536);
  CallersSection.integer("max_connections", Parsed.MaxConnections, 1, 65'536);
  CallersSection.integer("max_waiting", Parsed.MaxWaitingRequests, 1,
                         1'000'000);
  SectionReader OperatorsSection(Root, "operators", File, Problems);
  OperatorsSection.listenAddress("listen", Parsed.OperatorAddress);
  SectionReader PeersSection(Root, "peers", File, Problems);
  PeersSection.listenAddress("listen", Parsed.PeerAddress);
  PeersSection.addresses("seeds", Parsed.PeerSeeds);
}

void readPlatform(const toml::table &Root, const std::string &File,
                  std::vector<SettingsProblem> &Problems, Settings &Parsed) {
  SectionReader PlatformSection(Root, "platform", File, Problems);
  PlatformSection.url("url", Parsed.PlatformUrl);
  PlatformSection.millis("timeout_ms", Parsed.PlatformTimeout, 10, OneMinuteMs);
  PlatformSection.integer("writes_per_second", Parsed.WritesPerSecond, 1,
                          10'000);
  PlatformSection.millis("list_poll_ms", Parsed.ListPollInterval, 10, 2'000);
  PlatformSection.millis("config_poll_ms", Parsed.ConfigPollInterval, 10,
                         5'000);
  PlatformSection.millis("heartbeat_ms", Parsed.HeartbeatInterval, 50,
                         OneMinuteMs);
  PlatformSection.millis("takeover_after_ms", Parsed.TakeoverTimeout, 200,
                         OneHourMs);
  PlatformSection.millis("zone_lost_after_ms", Parsed.ZoneLossTimeout, 1'000,
                         OneHourMs);
  PlatformSection.integer("shards_per_zone", Parsed.ShardsPerZone, 1, 64);
  SectionReader WorkersSection(Root, "workers", File, Problems);
  WorkersSection.millis("sync_ms", Parsed.WorkerSyncInterval, 50, OneMinuteMs);
  WorkersSection.millis("lease_ms", Parsed.WorkerLeaseDuration, 500, OneHourMs);
  WorkersSection.millis("lease_margin_ms", Parsed.LeaseMargin, 0, OneMinuteMs);
}

} // namespace

std::string ListenAddress::text() const {
  return fmt::format("{}:{}", Host, Port);
}

std::string SettingsProblem::text() const {
  return fmt::format("{}:{}: {}: {}; allowed: {}", File, Line, Key,
                     make_error_code(Code).message(), Allowed);
}

bool parseTables(std::string_view Text, const std::string &File,
                 const std::set<std::string_view> &Sections, toml::table &Root,
                 std::vector<SettingsProblem> &Problems) {
  try {
    Root = toml::parse(Text);
  } catch (const toml::parse_error &Error) {
    Problems.push_back({.Code = Errc::Malformed,
                        .File = File,
                        .Line = Error.source().begin.line,
                        .Key = "(syntax)",
                        .Allowed = std::string(Error.description())});
    return false;
  }
  for (const auto &Item : Root) {
    if (Sections.count(Item.first.str()) && Item.second.is_table())
      continue;
    Problems.push_back({.Code = Errc::UnknownKey,
                        .File = File,
                        .Line = Item.second.source().begin.line,
                        .Key = std::string(Item.first.str()),
                        .Allowed = fmt::format("a table, one of {}",
                                               fmt::join(Sections, ", "))});
  }
  return true;
}

Result<Settings> parseSettings(std::string_view Text, const std::string &File,
                               std::vector<SettingsProblem> &Problems) {
  toml::table Root;
  if (!parseTables(
          Text, File,
          {"entry", "callers", "operators", "peers", "platform", "workers"},
          Root, Problems))
    return Problems.front().Code;
  Settings Parsed;
  readEntry(Root, File, Problems, Parsed);
  readListeners(Root, File, Problems, Parsed);
  readPlatform(Root, File, Problems, Parsed);
  if (!Problems.empty())
    return Problems.front().Code;
  return Parsed;
}

std::optional<std::string> readFile(const std::string &File,
                                    std::vector<SettingsProblem> &Problems) {
  std::ifstream Stream(File);
  if (!Stream) {
    Problems.push_back({.Code = Errc::NotFound,
                        .File = File,
                        .Key = "(file)",
                        .Allowed = "a readable file"});
    return std::nullopt;
  }
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

Result<Settings> loadSettings(const std::string &File,
                              std::vector<SettingsProblem> &Problems) {
  auto Text = readFile(File, Problems);
  if (!Text)
    return Errc::NotFound;
  return parseSettings(*Text, File, Problems);
}

} // namespace daisylanding::config
