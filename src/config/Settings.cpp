#include "config/Settings.h"

#include "config/Section.h"

#include <fmt/format.h>

#include <fstream>
#include <set>
#include <sstream>

namespace daisylanding::config {

namespace {

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

} // namespace

std::string Listen::text() const { return fmt::format("{}:{}", Address, Port); }

std::string SettingsProblem::text() const {
  return fmt::format("{}:{}: {}: {}; allowed: {}", File, Line, Key,
                     make_error_code(Code).message(), Allowed);
}

bool parseRoot(std::string_view Text, const std::string &File,
               const std::set<std::string_view> &Sections, toml::table &Root,
               std::vector<SettingsProblem> &Problems) {
  try {
    Root = toml::parse(Text);
  } catch (const toml::parse_error &Failure) {
    Problems.push_back({.Code = Errc::Malformed,
                        .File = File,
                        .Line = Failure.source().begin.line,
                        .Key = "(syntax)",
                        .Allowed = std::string(Failure.description())});
    return false;
  }
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
  return true;
}

Result<Settings> parseSettings(std::string_view Text, const std::string &File,
                               std::vector<SettingsProblem> &Problems) {
  toml::table Root;
  if (!parseRoot(
          Text, File,
          {"entry", "callers", "operators", "peers", "platform", "workers"},
          Root, Problems))
    return Problems.front().Code;
  Settings Out;
  readEntry(Root, File, Problems, Out);
  readListeners(Root, File, Problems, Out);
  readPlatform(Root, File, Problems, Out);
  if (!Problems.empty())
    return Problems.front().Code;
  return Out;
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
