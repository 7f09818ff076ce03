#include "cell/ConfigCheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace daisylanding::cell {

namespace {

class Checker {
public:
  explicit Checker(const CellConfig &Config) : Config(Config) {}

  std::vector<ConfigFinding> run() {
    for (size_t I = 0; I < Config.Queues.size(); ++I)
      checkQueue(I);
    checkServices();
    checkWeights();
    checkKeys();
    checkLimits();
    return std::move(Findings);
  }

private:
  void add(FindingKind Kind, ConfigPlace Place, std::string Text) {
    Findings.push_back({.Kind = Kind, .Place = Place, .Text = std::move(Text)});
  }
  void addOfQueue(FindingKind Kind, size_t Index, ConfigField Field,
                  std::string Text) {
    add(Kind, {.List = ConfigList::Queues, .Index = Index, .Field = Field},
        std::move(Text));
  }

  void checkQueue(size_t Index) {
    checkName(Index);
    checkService(Index);
    checkAddress(Index);
    checkTerms(Index);
  }

  void checkName(size_t Index) {
    const Queue &Checked = Config.Queues[Index];
    auto [It, IsFirst] = NamedQueues.try_emplace(Checked.Name, Index);
    if (!IsFirst)
      addOfQueue(FindingKind::Error, Index, ConfigField::Name,
                 fmt::format("{} is the name of queue {} too", Checked.Name,
                             It->second));
  }

  void checkService(size_t Index) {
    const Queue &Checked = Config.Queues[Index];
    if (std::find(Config.Services.begin(), Config.Services.end(),
                  Checked.Service) == Config.Services.end())
      addOfQueue(FindingKind::Error, Index, ConfigField::Service,
                 fmt::format("{} is not among the services", Checked.Service));
  }

  /// Entries choose a queue by its host without a port, and by the longest
  /// prefix of the path without a query.
  void checkAddress(size_t Index) {
    const Queue &Checked = Config.Queues[Index];
    auto [It, IsFirst] =
        AddressedQueues.try_emplace({Checked.Host, Checked.PathPrefix}, Index);
    if (!IsFirst)
      addOfQueue(FindingKind::Error, Index, ConfigField::PathPrefix,
                 fmt::format("queue {} has this host and prefix and always "
                             "wins",
                             Config.Queues[It->second].Name));
    if (Checked.Host.empty() || Checked.Host.find(':') != std::string::npos)
      addOfQueue(FindingKind::Warning, Index, ConfigField::Host,
                 "no request matches: a host has a name and no port");
    if (!Checked.PathPrefix.starts_with('/') ||
        Checked.PathPrefix.find('?') != std::string::npos)
      addOfQueue(FindingKind::Warning, Index, ConfigField::PathPrefix,
                 "no request matches: a path begins with / and has no query");
    else if (!Checked.PathPrefix.ends_with('/'))
      addOfQueue(FindingKind::Warning, Index, ConfigField::PathPrefix,
                 "ids of jobs follow it without a /");
  }

  void checkTerms(size_t Index) {
    const Queue &Checked = Config.Queues[Index];
    if (Checked.MaxAttempts == 0)
      addOfQueue(FindingKind::Warning, Index, ConfigField::Attempts,
                 "allows no attempt");
    double CallMs = Checked.Advice ? serviceMs(*Checked.Advice, 1) : 0;
    auto TargetMs = static_cast<double>(Checked.TargetLatency.count());
    if (TargetMs > 0 && TargetMs < CallMs)
      addOfQueue(FindingKind::Warning, Index, ConfigField::TargetLatency,
                 fmt::format("{} ms, but a call for advice takes {} ms",
                             TargetMs, CallMs));
  }

  void checkServices() {
    std::set<std::string_view> Seen;
    for (size_t I = 0; I < Config.Services.size(); ++I) {
      if (!Seen.insert(Config.Services[I]).second)
        add(FindingKind::Warning,
            {.List = ConfigList::Services,
             .Index = I,
             .Field = ConfigField::Name},
            fmt::format("{} is listed before", Config.Services[I]));
    }
  }

  void checkWeights() {
    size_t WithWeight = 0;
    for (size_t I = 0; I < Config.Workspaces.size(); ++I) {
      if (Config.Workspaces[I].Weight > 0) {
        ++WithWeight;
        continue;
      }
      add(FindingKind::Warning,
          {.List = ConfigList::Workspaces,
           .Index = I,
           .Field = ConfigField::Weight},
          fmt::format("workspace {} has no share of a full cell",
                      Config.Workspaces[I].Name));
    }
    if (WithWeight == 1 && Config.Workspaces.size() > 1)
      add(FindingKind::Warning, {.List = ConfigList::Workspaces},
          "one workspace alone has all weight");
  }

  void checkKeys() {
    std::vector<size_t> Counts = countKeys(Config);
    for (size_t I = 0; I < Counts.size(); ++I) {
      if (Counts[I] == 0)
        add(FindingKind::Warning,
            {.List = ConfigList::Workspaces,
             .Index = I,
             .Field = ConfigField::Keys},
            fmt::format("workspace {} has no key", Config.Workspaces[I].Name));
    }
  }

  void checkLimits() {
    if (Config.Limits.MaxHeaderBytes == 0)
      add(FindingKind::Warning, {.Field = ConfigField::MaxHeaderBytes},
          "every request is refused");
    if (Config.Limits.MaxBodyBytes == 0)
      add(FindingKind::Warning, {.Field = ConfigField::MaxBodyBytes},
          "every job is refused");
  }

  const CellConfig &Config;
  std::vector<ConfigFinding> Findings;
  std::map<std::string_view, size_t> NamedQueues;
  /// By host and prefix.
  std::map<std::pair<std::string_view, std::string_view>, size_t>
      AddressedQueues;
};

} // namespace

std::vector<ConfigFinding> checkConfig(const CellConfig &Config) {
  return Checker(Config).run();
}

std::vector<size_t> countKeys(const CellConfig &Config) {
  std::vector<size_t> Counts(Config.Workspaces.size());
  Config.Keys.visit(
      [&](std::string_view, uint32_t Workspace) { ++Counts[Workspace]; });
  return Counts;
}

} // namespace daisylanding::cell
