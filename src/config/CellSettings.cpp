#include "config/CellSettings.h"

#include "config/SectionReader.h"

namespace daisylanding::config {

namespace {

constexpr int64_t OneMinuteMs = 60'000;
constexpr int64_t OneDayMs = 86'400'000;

void readSections(const toml::table &Root, const std::string &File,
                  std::vector<SettingsProblem> &Problems,
                  CellSettings &Parsed) {
  SectionReader EntrySection(Root, "entry", File, Problems);
  EntrySection.name("name", Parsed.Name);
  EntrySection.name("zone", Parsed.AvailabilityZone);
  EntrySection.duration("drain_limit_ms", "drain_limit_s", Parsed.DrainLimit,
                        500, OneMinuteMs);
  EntrySection.choice("log_level", Parsed.LogLevel,
                      {"debug", "info", "warn", "error"});
  SectionReader ListenSection(Root, "listen", File, Problems);
  ListenSection.listenAddress("callers", Parsed.CallerAddress);
  ListenSection.listenAddress("readiness", Parsed.ReadinessAddress);
  ListenSection.listenAddress("relay", Parsed.RelayAddress);
  ListenSection.listenAddress("operators", Parsed.OperatorAddress);
  ListenSection.integer("max_connections", Parsed.MaxConnections, 16, 65'536);
  SectionReader ServicesSection(Root, "services", File, Problems);
  ServicesSection.address("store", Parsed.StoreAddress);
  ServicesSection.optionalAddress("advice", Parsed.AdviceAddress);
  SectionReader InstanceSection(Root, "instance", File, Problems);
  InstanceSection.positive("processor_share", Parsed.ProcessorShare, 1'024);
  InstanceSection.positive("link_mbit_per_s", Parsed.LinkMbitPerSecond,
                           1'000'000);
  InstanceSection.integer("max_descriptors", Parsed.MaxDescriptors, 256,
                          1'048'576);
  SectionReader BoundsSection(Root, "bounds", File, Problems);
  BoundsSection.duration("drain_ms", Parsed.MaxDrainDelay, 1'300, OneDayMs);
  BoundsSection.duration("cancel_ms", Parsed.MaxCancelDelay, 1'300, OneDayMs);
  BoundsSection.duration("max_lease_ms", Parsed.MaxLease, 1'000, OneDayMs);
  BoundsSection.duration("status_kept_ms", "status_kept_s",
                         Parsed.StatusRetention, 0, OneDayMs);
  BoundsSection.duration("key_confirmation_ms", Parsed.KeyConfirmation, 0,
                         OneDayMs);
  BoundsSection.number("spread_factor", Parsed.SpreadFactor, 1, 100);
}

} // namespace

Result<CellSettings> parseCellSettings(std::string_view Text,
                                       const std::string &File,
                                       std::vector<SettingsProblem> &Problems) {
  toml::table Root;
  if (!parseTables(Text, File,
                   {"entry", "listen", "services", "instance", "bounds"}, Root,
                   Problems))
    return Problems.front().Code;
  CellSettings Parsed;
  readSections(Root, File, Problems, Parsed);
  if (!Problems.empty())
    return Problems.front().Code;
  return Parsed;
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
