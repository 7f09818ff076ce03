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

/// Simulates one shard's owner and workers in virtual time. The journal is a
/// vector; a group counts as written when write() is called.
class ShardSim {
public:
  ShardSim() : Now(Micros(std::chrono::hours(1))) { takeOver(); }

  void addWorker(const std::string &Name, uint32_t Cores = 4,
                 uint32_t Accelerators = 0) {
    InstanceList.push_back(workerInstance(Name, Cores, Accelerators));
    Workers.emplace(Name, standin::WorkerModel(Name, "boot-1"));
    publishList();
  }

  void removeFromList(const std::string &Name) {
    std::erase_if(InstanceList,
                  [&](const auto &Instance) { return Instance.Name == Name; });
    publishList();
  }

  void publishList() {
    ++ListVersion;
    Owner->applyView(InstanceList, ListVersion, Config, Now);
  }

  /// Replaces the owner by one with the next epoch, which loads the journal.
  void takeOver() {
    ++Epoch;
    Owner = makeOwner();
    Owner->applyView(InstanceList, ListVersion, Config, Now);
    Owner->load({}, Journal, Journal.size(), Now);
    Owner->applyView(InstanceList, ListVersion, Config, Now);
    Owner->confirmOwnership(Now);
  }

  std::unique_ptr<shard::ShardOwner> makeOwner() const {
    return std::make_unique<shard::ShardOwner>(shard::ShardOwnerOptions{
        .Id = "za.0",
        .Incarnation = "owner-" + std::to_string(Epoch),
        .Epoch = Epoch,
        .AcquiredAt = Now});
  }

  void submit(const config::JobSpec &Spec) {
    shard::InboxItem Item{.Key = "inbox/" + Spec.Id,
                          .AcceptedJob = shard::JobAccepted{Spec}};
    Owner->onInbox({&Item, 1});
  }

  void stop(const std::string &Job) {
    shard::InboxItem Item{.Key = "inbox/" + Job + ":stop", .StoppedJob = Job};
    Owner->onInbox({&Item, 1});
  }

  /// Writes the next group. Returns false if there is none or the platform is
  /// down.
  bool write() {
    if (PlatformDown)
      return false;
    auto Group = Owner->nextGroup(Now);
    if (!Group)
      return false;
    Journal.push_back(Group->Row);
    Owner->onGroupWritten(Now);
    return true;
  }

  /// Delivers one sync to a worker, and its report to the sender.
  void deliver(shard::ShardOwner &Sender, const shard::WorkerCall &Call) {
    std::string Name = Call.Address.substr(std::string("address-").size());
    auto Report = Workers.at(Name).sync(Call.Request, Now, EventLog);
    if (Report)
      Sender.onSyncResult(Call.Instance, *Report, Now);
    else
      Sender.onSyncResult(Call.Instance, Errc::Fenced, Now);
  }

  void sync() {
    for (const shard::WorkerCall &Call : Owner->dueSyncs(Now))
      deliver(*Owner, Call);
  }

  /// Advances the simulation by \p Duration in steps of 100 ms.
  void run(Millis Duration) {
    constexpr Millis Step{100};
    for (Millis Elapsed{0}; Elapsed < Duration; Elapsed += Step) {
      Now += Step;
      for (auto &NameAndWorker : Workers)
        NameAndWorker.second.advance(Now, EventLog);
      if (!PlatformDown)
        Owner->confirmOwnership(Now);
      while (write()) {
      }
      sync();
    }
  }

  size_t countRunningOn(const std::string &Name) {
    worker::SyncRequest Query{.Shard = "observer",
                              .Sequence = ++ObserverSequence};
    return Workers.at(Name).sync(Query, Now, EventLog)->Running.size();
  }

  size_t countRunning() {
    size_t Sum = 0;
    for (auto &NameAndWorker : Workers)
      Sum += countRunningOn(NameAndWorker.first);
    return Sum;
  }

  std::shared_ptr<config::ClusterConfig> Config = standardConfig();
  TimePoint Now;
  uint64_t Epoch = 0;
  uint64_t ListVersion = 1;
  uint64_t ObserverSequence = 0;
  bool PlatformDown = false;
  std::vector<table::Instance> InstanceList;
  std::vector<shard::JournalRow> Journal;
  std::map<std::string, standin::WorkerModel> Workers;
  std::unique_ptr<shard::ShardOwner> Owner;
  standin::History EventLog{""};
};

} // namespace daisylanding::test

#endif
