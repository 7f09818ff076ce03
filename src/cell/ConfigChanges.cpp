#include "cell/ConfigChanges.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string_view>

namespace daisylanding::cell {

namespace {

class Comparison {
public:
  Comparison(const CellConfig &Running, const CellConfig &Proposed,
             const ChangeOptions &Options)
      : Running(Running), Proposed(Proposed), Options(Options) {}

  std::vector<ConfigChange> run() {
    compareServices();
    compareAll(Running.Queues, Proposed.Queues, "queue",
               [this](const Queue &Old, const Queue &New) {
                 compareQueues(Old, New);
               });
    compareAll(Running.Workspaces, Proposed.Workspaces, "workspace",
               [this](const Workspace &Old, const Workspace &New) {
                 compareWorkspaces(Old, New);
               });
    if (Options.KnowsKeys)
      compareKeys();
    compareLimits();
    return std::move(Changes);
  }

private:
  void add(std::string Subject, std::string What, std::string From = {},
           std::string To = {}) {
    Changes.push_back({.Subject = std::move(Subject),
                       .What = std::move(What),
                       .From = std::move(From),
                       .To = std::move(To)});
  }
  template <typename Value>
  void compare(const std::string &Subject, std::string_view What,
               const Value &Old, const Value &New) {
    if (Old != New)
      add(Subject, std::string(What), fmt::format("{}", Old),
          fmt::format("{}", New));
  }

  void compareServices() {
    for (const std::string &Service : Running.Services) {
      if (!holds(Proposed.Services, Service))
        add("service " + Service, "removed");
    }
    for (const std::string &Service : Proposed.Services) {
      if (!holds(Running.Services, Service))
        add("service " + Service, "added");
    }
  }
  static bool holds(const std::vector<std::string> &Names,
                    const std::string &Name) {
    return std::find(Names.begin(), Names.end(), Name) != Names.end();
  }

  /// Matches entries by name.
  template <typename Entry, typename Function>
  void compareAll(const std::vector<Entry> &Old, const std::vector<Entry> &New,
                  std::string_view Kind, Function CompareEntries) {
    auto OldByName = byName(Old);
    auto NewByName = byName(New);
    for (const auto &[Name, OldEntry] : OldByName) {
      auto It = NewByName.find(Name);
      if (It == NewByName.end())
        add(fmt::format("{} {}", Kind, Name), "removed");
      else
        CompareEntries(*OldEntry, *It->second);
    }
    for (const auto &[Name, NewEntry] : NewByName) {
      if (!OldByName.count(Name))
        add(fmt::format("{} {}", Kind, Name), "added");
    }
  }
  /// The first of each name, as entries find it.
  template <typename Entry>
  static std::map<std::string_view, const Entry *>
  byName(const std::vector<Entry> &Entries) {
    std::map<std::string_view, const Entry *> Result;
    for (const Entry &Named : Entries)
      Result.try_emplace(Named.Name, &Named);
    return Result;
  }

  void compareQueues(const Queue &Old, const Queue &New) {
    std::string Subject = "queue " + New.Name;
    compare(Subject, "moved to service", Old.Service, New.Service);
    compare(Subject, "address", Old.Host + Old.PathPrefix,
            New.Host + New.PathPrefix);
    compare(Subject, "priority", Old.Priority, New.Priority);
    compare(Subject, "attempts", Old.MaxAttempts, New.MaxAttempts);
    compare(Subject, "stretch", Old.Stretch, New.Stretch);
    compare(Subject, "target latency in ms", Old.TargetLatency.count(),
            New.TargetLatency.count());
    compare(Subject, "advice", adviceText(Old), adviceText(New));
    if (Old.IsPublic != New.IsPublic)
      add(Subject, New.IsPublic ? "needs no key any more" : "needs a key");
  }
  static std::string adviceText(const Queue &Described) {
    if (!Described.Advice)
      return "none";
    const AdviceSettings &Advice = *Described.Advice;
    return fmt::format("{} ms, {} ms an executor, valid {} ms", Advice.BaseMs,
                       Advice.PerExecutorMs, Advice.Validity.count());
  }

  void compareWorkspaces(const Workspace &Old, const Workspace &New) {
    std::string Subject = "workspace " + New.Name;
    compare(Subject, "priority", Old.Priority, New.Priority);
    compare(Subject, "weight", Old.Weight, New.Weight);
    compareCaps(Subject, "milli-cores", Old.Cap.MilliCores, New.Cap.MilliCores);
    compareCaps(Subject, "memory in MB", Old.Cap.MemoryMb, New.Cap.MemoryMb);
    compareCaps(Subject, "accelerators", Old.Cap.Accelerators,
                New.Cap.Accelerators);
  }
  void compareCaps(const std::string &Subject, std::string_view Resource,
                   uint32_t Old, uint32_t New) {
    if (Old == New)
      return;
    // 0 is no limit.
    bool IsLowered = New != 0 && (Old == 0 || New < Old);
    add(Subject,
        fmt::format("cap of {} {}", Resource, IsLowered ? "lowered" : "raised"),
        capText(Old), capText(New));
  }
  static std::string capText(uint32_t Amount) {
    return Amount == 0 ? "no limit" : std::to_string(Amount);
  }

  void compareKeys() {
    std::map<std::string_view, size_t> Added = missingKeys(Proposed, Running);
    std::map<std::string_view, size_t> Removed = missingKeys(Running, Proposed);
    for (const auto &[Name, Count] : Removed)
      add(fmt::format("workspace {}", Name),
          fmt::format("keys taken away: {}", Count));
    for (const auto &[Name, Count] : Added)
      add(fmt::format("workspace {}", Name),
          fmt::format("keys added: {}", Count));
  }
  /// How many keys of each workspace of \p Left it doesn't have in \p Right.
  static std::map<std::string_view, size_t>
  missingKeys(const CellConfig &Left, const CellConfig &Right) {
    std::map<std::string_view, size_t> Counts;
    Left.Keys.visit([&](std::string_view Key, uint32_t Index) {
      const std::string &Name = Left.Workspaces[Index].Name;
      auto Owner = Right.Keys.find(Key);
      if (!Owner || Right.Workspaces[*Owner].Name != Name)
        ++Counts[Name];
    });
    return Counts;
  }

  void compareLimits() {
    const http::RequestLimits &Old = Running.Limits;
    const http::RequestLimits &New = Proposed.Limits;
    compare("limits", "header bytes", Old.MaxHeaderBytes, New.MaxHeaderBytes);
    compare("limits", "body bytes", Old.MaxBodyBytes, New.MaxBodyBytes);
    compare("limits", "header time limit in ms", Old.HeaderTimeout.count(),
            New.HeaderTimeout.count());
    compare("limits", "idle time limit in ms", Old.IdleTimeout.count(),
            New.IdleTimeout.count());
  }

  const CellConfig &Running;
  const CellConfig &Proposed;
  const ChangeOptions &Options;
  std::vector<ConfigChange> Changes;
};

} // namespace

std::vector<ConfigChange> findChanges(const CellConfig &Running,
                                      const CellConfig &Proposed,
                                      const ChangeOptions &Options) {
  return Comparison(Running, Proposed, Options).run();
}

std::optional<ConfigFinding>
checkVersion(const CellConfig &Running, const CellConfig &Proposed,
             const std::vector<ConfigChange> &Changes) {
  if (Proposed.Version > Running.Version ||
      (Proposed.Version == Running.Version && Changes.empty()))
    return std::nullopt;
  return ConfigFinding{
      .Kind = FindingKind::Error,
      .Place = {.Field = ConfigField::Version},
      .Text = fmt::format("above {}, which is in force; {} is never applied",
                          Running.Version, Proposed.Version)};
}

} // namespace daisylanding::cell
