#include "config/CellSettings.h"

#include "config/SectionReader.h"

#include <algorithm>

namespace daisylanding::config {

namespace {

constexpr int64_t OneMinuteMs = 60'000;
constexpr int64_t OneDayMs = 86'400'000;

constexpr int64_t OneMb = 1'048'576;

/// The largest request that a configuration allows by default takes 0.3 MB.
constexpr int64_t MinRequestBytes = OneMb / 2;
constexpr int64_t MaxRequestBytes = 1'024 * OneMb;

/// By default, requests take at most this part of the instance's memory: up to
/// five copies of a submission exist while it is stored.
constexpr size_t RequestMemoryPart = 10;
constexpr size_t MinDefaultRequestBytes = 8 * OneMb;

void readCallerBudget(SectionReader &Listen, http::BudgetLimits &Budget) {
  constexpr int64_t Connections = 65'536;
  Listen.integer("max_connections", Budget.MaxConnections, 16, Connections);
  Listen.integer("max_request_bytes", Budget.MaxRequestBytes, MinRequestBytes,
                 MaxRequestBytes);
  Listen.integer("max_connection_bytes", Budget.MaxConnectionBytes,
                 MinRequestBytes, MaxRequestBytes);
  Listen.integer("max_address_bytes", Budget.MaxAddressBytes, 0,
                 MaxRequestBytes);
  Listen.integer("max_address_connections", Budget.MaxAddressConnections, 0,
                 Connections);
  Listen.integer("max_open_requests", Budget.MaxOpenRequests, 1, 1'024);
  Listen.integer("max_unsent_bytes", Budget.MaxUnsentBytes, 16'384,
                 MaxRequestBytes);
  Listen.integer("max_header_fields", Budget.MaxHeaderFields, 16, 16'384);
  Listen.duration("body_timeout_ms", Budget.BodyTimeout, 100, OneMinuteMs);
}

/// The default, on an instance whose memory is known.
size_t requestBytesFor(size_t MemoryMb, size_t Default) {
  size_t Part = MemoryMb * OneMb / RequestMemoryPart;
  return std::clamp(Part, MinDefaultRequestBytes, Default);
}

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
  SectionReader ServicesSection(Root, "services", File, Problems);
  ServicesSection.address("store", Parsed.StoreAddress);
  ServicesSection.optionalAddress("advice", Parsed.AdviceAddress);
  SectionReader InstanceSection(Root, "instance", File, Problems);
  InstanceSection.integer("memory_mb", Parsed.MemoryMb, 16, 1'048'576);
  if (Parsed.MemoryMb > 0)
    Parsed.CallerBudget.MaxRequestBytes =
        requestBytesFor(Parsed.MemoryMb, Parsed.CallerBudget.MaxRequestBytes);
  readCallerBudget(ListenSection, Parsed.CallerBudget);
  InstanceSection.positive("processor_share", Parsed.ProcessorShare, 1'024);
  InstanceSection.positive("link_mbit_per_s", Parsed.LinkMbitPerSecond,
                           1'000'000);
  InstanceSection.integer("max_descriptors", Parsed.MaxDescriptors, 256,
                          1'048'576);
  SectionReader BoundsSection(Root, "bounds", File, Problems);
  BoundsSection.duration("drain_ms", Parsed.MaxDrainDelay, 1'300, OneDayMs);
  BoundsSection.duration("cancel_ms", Parsed.MaxCancelDelay, 1'300, OneDayMs);
  BoundsSection.duration("config_apply_ms", Parsed.MaxConfigDelay,
                         CellSettings::MinConfigDelay.count(), OneDayMs);
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
