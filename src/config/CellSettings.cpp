#include "config/CellSettings.h"

#include "config/Section.h"

namespace daisylanding::config {

namespace {

constexpr int64_t OneMinuteMs = 60'000;
constexpr int64_t OneDayMs = 86'400'000;

void readAll(const toml::table &Root, const std::string &File,
             std::vector<SettingsProblem> &Problems, CellSettings &Out) {
  Section Entry(Root, "entry", File, Problems);
  Entry.name("name", Out.Name);
  Entry.name("zone", Out.AvailabilityZone);
  Entry.millis("drain_limit_ms", Out.DrainLimit, 500, OneMinuteMs);
  Entry.choice("log_level", Out.LogLevel, {"debug", "info", "warn", "error"});
  Section Listeners(Root, "listen", File, Problems);
  Listeners.listen("callers", Out.Callers);
  Listeners.listen("readiness", Out.Readiness);
  Listeners.listen("relay", Out.Relay);
  Listeners.listen("operators", Out.Operators);
  Listeners.integer("max_connections", Out.MaxConnections, 16, 65'536);
  Section Services(Root, "services", File, Problems);
  Services.address("store", Out.StoreAddress);
  Services.optionalAddress("advice", Out.AdviceAddress);
  Section Bounds(Root, "bounds", File, Problems);
  Bounds.millis("drain_ms", Out.DrainBound, 1'300, OneDayMs);
  Bounds.millis("cancel_ms", Out.CancelBound, 1'300, OneDayMs);
  Bounds.millis("max_lease_ms", Out.MaxLease, 1'000, OneDayMs);
  Bounds.millis("status_kept_ms", Out.StatusKept, 0, OneDayMs);
}

} // namespace

Result<CellSettings> parseCellSettings(std::string_view Text,
                                       const std::string &File,
                                       std::vector<SettingsProblem> &Problems) {
  toml::table Root;
  if (!parseRoot(Text, File, {"entry", "listen", "services", "bounds"}, Root,
                 Problems))
    return Problems.front().Code;
  CellSettings Out;
  readAll(Root, File, Problems, Out);
  if (!Problems.empty())
    return Problems.front().Code;
  return Out;
}

Result<CellSettings> loadCellSettings(const std::string &File,
                                      std::vector<SettingsProblem> &Problems) {
  auto Text = readFile(File, Problems);
  if (!Text)
    return Errc::NotFound;
  return parseCellSettings(*Text, File, Problems);
}

bool isCellSettings(const std::string &File) {
  std::vector<SettingsProblem> Ignored;
  auto Text = readFile(File, Ignored);
  return Text && Text->find("[services]") != std::string::npos;
}

} // namespace daisylanding::config
