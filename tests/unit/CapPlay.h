#ifndef DAISYLANDING_TESTS_UNIT_CAPPLAY_H
#define DAISYLANDING_TESTS_UNIT_CAPPLAY_H

#include "cell/WorkspaceCaps.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Owners of several services that share the cap of one workspace, without
/// executors: a task that is placed begins with the commit that records it.
namespace daisylanding::cellsim {

constexpr const char *CapWorkspace = "w";

struct CapService {
  std::unique_ptr<cell::WorkspaceCaps> Caps;
  Resources TaskSize;
  uint32_t Waiting = 0;
  uint32_t Placed = 0; ///< Not recorded yet.
  uint32_t Running = 0;
  uint32_t MaxRunning = UINT32_MAX; ///< Places on its executors.
  size_t Config = 0;                ///< Number of the one that it goes by.
  size_t ConfigOfPlaced = 0;        ///< Of the oldest placed task.
};

class CapPlay {
public:
  struct Commit {
    std::optional<cell::CapRow> Row;
    uint64_t Revision = 0;
    uint32_t Starts = 0;
    size_t Config = 0;
  };

  explicit CapPlay(std::vector<std::string> Names, const Resources &Cap) {
    ServiceNames = std::move(Names);
    changeCap(Cap);
    for (const std::string &Name : ServiceNames)
      takeOver(Name);
  }

  CapService &operator[](const std::string &Name) { return Services[Name]; }
  const std::vector<std::string> &names() const { return ServiceNames; }

  /// The next version of the configuration; owners adopt it later.
  void changeCap(const Resources &Cap) {
    cell::CellConfig Config;
    Config.Version = Configs.size() + 1;
    Config.Services = ServiceNames;
    Config.Workspaces.push_back({.Name = CapWorkspace, .Cap = Cap});
    Configs.push_back(Config);
  }
  void adoptConfig(const std::string &Name) {
    CapService &Service = Services[Name];
    if (Service.Config + 1 == Configs.size())
      return;
    Service.Config = Configs.size() - 1;
    Service.Caps->setConfig(Configs.back());
  }
  /// A new owner, which knows what is recorded.
  void takeOver(const std::string &Name) {
    CapService &Service = Services[Name];
    Service.Caps = std::make_unique<cell::WorkspaceCaps>(Name);
    Service.Config = Configs.size() - 1;
    Service.Caps->setConfig(Configs.back());
    Service.Waiting += Service.Placed;
    Service.Placed = 0;
    InFlight.erase(Name);
    for (uint32_t I = 0; I < Service.Running; ++I)
      Service.Caps->reserve(CapWorkspace, Service.TaskSize);
    read(Name);
    auto Own = Rows.find(Name);
    Service.Caps->restore(Own == Rows.end() ? std::nullopt
                                            : std::optional(Own->second.first));
  }
  /// A planning turn.
  void plan(const std::string &Name) {
    CapService &Service = Services[Name];
    uint32_t Room =
        Service.MaxRunning -
        std::min(Service.MaxRunning, Service.Running + Service.Placed);
    uint32_t Count = Service.Caps->placesFor(CapWorkspace, Service.TaskSize,
                                             std::min(Service.Waiting, Room));
    if (Count > 0 && Service.Placed == 0)
      Service.ConfigOfPlaced = Service.Config;
    for (uint32_t I = 0; I < Count; ++I)
      Service.Caps->reserve(CapWorkspace, Service.TaskSize);
    Service.Waiting -= Count;
    Service.Placed += Count;
    Service.Caps->beginTurn();
    Service.Caps->noteWanted(CapWorkspace, Service.TaskSize, Service.Waiting);
    Now += Millis(50);
    Service.Caps->endTurn(Now);
  }
  /// Sends a commit if none is in flight.
  void send(const std::string &Name) {
    CapService &Service = Services[Name];
    bool IsDue = Service.Caps->isRowDue() || Service.Placed > 0;
    if (!IsDue || InFlight.count(Name))
      return;
    Commit Sent{.Starts = Service.Placed, .Config = Service.Config};
    if (Service.Placed > 0)
      Sent.Config = Service.ConfigOfPlaced;
    if (Service.Caps->isRowDue()) {
      Sent.Revision = Service.Caps->revision();
      Sent.Row = *cell::decodeCapRow(encodeCapRow(Service.Caps->row()));
    }
    InFlight[Name] = Sent;
  }
  /// The store carries the commit out. One whose sender has lost the service
  /// finds a conflict instead.
  void carryOut(const std::string &Name) {
    auto Found = InFlight.find(Name);
    if (Found == InFlight.end())
      return;
    Commit Done = Found->second;
    InFlight.erase(Found);
    CapService &Service = Services[Name];
    if (Done.Row) {
      Rows[Name] = {*Done.Row, ++Version};
      History[Name].push_back(Rows[Name]);
      Service.Caps->noteWritten(Done.Revision);
    }
    Service.Placed -= Done.Starts;
    Service.Running += Done.Starts;
    if (Done.Starts > 0)
      checkStart(Done, Service.TaskSize);
  }
  /// The commit is carried out, and its sender dies before the answer.
  void carryOutAndTakeOver(const std::string &Name) {
    auto Found = InFlight.find(Name);
    if (Found != InFlight.end())
      carryOut(Name);
    takeOver(Name);
  }
  void end(const std::string &Name) {
    CapService &Service = Services[Name];
    if (Service.Running == 0)
      return;
    --Service.Running;
    Service.Caps->release(CapWorkspace, Service.TaskSize);
  }
  /// Reads all rows of others, or older ones.
  void read(const std::string &Name, size_t Age = 0) {
    for (const auto &[From, All] : History) {
      const auto &Row = All[All.size() - 1 - std::min(Age, All.size() - 1)];
      Services[Name].Caps->addRow(From, Row.first, Row.second);
    }
  }
  /// All owners go on without faults.
  void round() {
    for (const std::string &Name : ServiceNames) {
      read(Name);
      adoptConfig(Name);
      plan(Name);
      send(Name);
      carryOut(Name);
    }
  }
  void rounds(size_t Count) {
    for (size_t I = 0; I < Count; ++I)
      round();
  }

  /// Millicores and accelerators that run on all services.
  std::pair<uint64_t, uint64_t> running() const {
    std::pair<uint64_t, uint64_t> Sum;
    for (const auto &[Name, Service] : Services) {
      Sum.first +=
          static_cast<uint64_t>(Service.Running) * Service.TaskSize.MilliCores;
      Sum.second += static_cast<uint64_t>(Service.Running) *
                    Service.TaskSize.Accelerators;
    }
    return Sum;
  }
  const Resources &newestCap() const {
    return Configs.back().Workspaces.front().Cap;
  }

  size_t Violations = 0;
  TimePoint Now{Millis(1'000'000)};

private:
  /// The highest cap that an owner may go by, or went by in this commit.
  void checkStart(const Commit &Done, const Resources &Size) {
    size_t Oldest = Done.Config;
    for (const auto &Entry : Services)
      Oldest = std::min(Oldest, Entry.second.Config);
    for (const auto &Entry : InFlight)
      Oldest = std::min(Oldest, Entry.second.Config);
    uint64_t Cores = 0;
    uint64_t Accelerators = 0;
    for (size_t I = Oldest; I < Configs.size(); ++I) {
      const Resources &Cap = Configs[I].Workspaces.front().Cap;
      Cores = std::max<uint64_t>(Cores, Cap.MilliCores);
      Accelerators = std::max<uint64_t>(Accelerators, Cap.Accelerators);
    }
    auto Sum = running();
    bool IsBeyond = Sum.first > Cores ||
                    (Size.Accelerators > 0 && Sum.second > Accelerators);
    Violations += IsBeyond ? 1 : 0;
  }

  std::vector<std::string> ServiceNames;
  std::vector<cell::CellConfig> Configs;
  std::map<std::string, CapService> Services;
  std::map<std::string, std::pair<cell::CapRow, uint64_t>> Rows;
  std::map<std::string, std::vector<std::pair<cell::CapRow, uint64_t>>> History;
  std::map<std::string, Commit> InFlight;
  uint64_t Version = 0;
};

} // namespace daisylanding::cellsim

#endif
