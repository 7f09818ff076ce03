#ifndef DAISYLANDING_TESTS_UNIT_SHARDFIXTURE_H
#define DAISYLANDING_TESTS_UNIT_SHARDFIXTURE_H

#include "shard/ShardOwner.h"
#include "standin/WorkerService.h"

#include <map>
#include <memory>
#include <string>

namespace daisylanding::test {

inline table::Instance workerInstance(const std::string &Name,
                                      uint32_t Cores = 4,
                                      uint32_t Accelerators = 0) {
  return {.Name = Name,
          .Kind = table::Role::Worker,
          .AvailabilityZone = "za",
          .Rack = "r-" + Name,
          .Address = "address-" + Name,
          .Capacity = {.MilliCores = Cores * 1'000,
                       .MemoryMb = 8'000,
                       .Accelerators = Accelerators}};
}

inline config::JobSpec batchJob(const std::string &Id, uint32_t Tasks,
                                uint32_t Cores = 1) {
  return {.Id = Id,
          .Kind = config::JobKind::Batch,
          .Class = "bulk",
          .Tasks = Tasks,
          .Size = {.MilliCores = Cores * 1'000, .MemoryMb = 100},
          .RunTime = Millis(1'000)};
}

inline std::shared_ptr<config::ClusterConfig> standardConfig() {
  auto Config = std::make_shared<config::ClusterConfig>();
  Config->Version = 1;
  Config->Classes = {
      {.Name = "urgent", .WaitingTarget = Millis(1'000)},
      {.Name = "bulk", .WaitingTarget = Millis(20'000), .PackingTarget = 0.8},
      {.Name = "movable",
       .WaitingTarget = Millis(20'000),
       .ZoneLoss = config::ZoneLossPolicy::Move}};
  return Config;
}

/// One shard's owners and workers in virtual time. The journal is a vector;
/// a group counts as written when the test says so.
class ShardWorld {
public:
  ShardWorld() : Now(Micros(std::chrono::hours(1))) { takeOver(); }

  void addWorker(const std::string &Name, uint32_t Cores = 4,
                 uint32_t Accelerators = 0) {
    List.push_back(workerInstance(Name, Cores, Accelerators));
    Models.emplace(Name, standin::WorkerModel(Name, "boot-1"));
    listChanged();
  }

  void removeFromList(const std::string &Name) {
    std::erase_if(List, [&](const auto &Each) { return Each.Name == Name; });
    listChanged();
  }

  void listChanged() {
    ++ListVersion;
    Owner->applyView(List, ListVersion, Config, Now);
  }

  /// A new owner with the next epoch reads the journal.
  void takeOver() {
    ++Epoch;
    Owner = makeOwner();
    Owner->applyView(List, ListVersion, Config, Now);
    Owner->load({}, Journal, Journal.size(), Now);
    Owner->applyView(List, ListVersion, Config, Now);
    Owner->confirmOwnership(Now);
  }

  std::unique_ptr<shard::ShardOwner> makeOwner() const {
    return std::make_unique<shard::ShardOwner>(shard::ShardOwnerOptions{
        .Id = "za.0",
        .Incarnation = "owner-" + std::to_string(Epoch),
        .Epoch = Epoch,
        .TakenAt = Now});
  }

  void submit(const config::JobSpec &Spec) {
    shard::InboxItem Item{.Key = "inbox/" + Spec.Id,
                          .Accept = shard::JobAccepted{Spec}};
    Owner->onInbox({&Item, 1});
  }

  void stop(const std::string &Job) {
    shard::InboxItem Item{.Key = "inbox/" + Job + ":stop", .Stop = Job};
    Owner->onInbox({&Item, 1});
  }

  /// Writes the next group, if there is one and the table can be reached.
  bool write() {
    if (PlatformAway)
      return false;
    auto Group = Owner->nextGroup(Now);
    if (!Group)
      return false;
    Journal.push_back(Group->Row);
    Owner->onWritten(Now);
    return true;
  }

  /// Carries one sync to a worker and its report back.
  void deliver(shard::ShardOwner &From, const shard::WorkerCall &Call) {
    std::string Name = Call.Address.substr(std::string("address-").size());
    auto Report = Models.at(Name).sync(Call.Request, Now, Log);
    if (Report)
      From.onSynced(Call.Instance, *Report, Now);
    else
      From.onSynced(Call.Instance, Errc::Fenced, Now);
  }

  void sync() {
    for (const shard::WorkerCall &Call : Owner->dueSyncs(Now))
      deliver(*Owner, Call);
  }

  /// Lets all pass for \p Span in steps of 100 ms.
  void run(Millis Span) {
    constexpr Millis Step{100};
    for (Millis Passed{0}; Passed < Span; Passed += Step) {
      Now += Step;
      for (auto &Each : Models)
        Each.second.advance(Now, Log);
      if (!PlatformAway)
        Owner->confirmOwnership(Now);
      while (write()) {
      }
      sync();
    }
  }

  size_t runningOn(const std::string &Name) {
    worker::SyncRequest Ask{.Shard = "observer", .Sequence = ++Observations};
    return Models.at(Name).sync(Ask, Now, Log)->Running.size();
  }

  size_t runningEverywhere() {
    size_t Sum = 0;
    for (auto &Each : Models)
      Sum += runningOn(Each.first);
    return Sum;
  }

  std::shared_ptr<config::ClusterConfig> Config = standardConfig();
  TimePoint Now;
  uint64_t Epoch = 0;
  uint64_t ListVersion = 1;
  uint64_t Observations = 0;
  bool PlatformAway = false;
  std::vector<table::Instance> List;
  std::vector<shard::JournalRow> Journal;
  std::map<std::string, standin::WorkerModel> Models;
  std::unique_ptr<shard::ShardOwner> Owner;
  standin::History Log{""};
};

} // namespace daisylanding::test

#endif
