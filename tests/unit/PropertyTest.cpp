#include "caller/CallerRequest.h"
#include "cell/OwnerRow.h"
#include "cell/Progress.h"
#include "common/Base64.h"
#include "config/Settings.h"
#include "entry/CreditLoop.h"
#include "platform/PlatformPorts.h"
#include "policy/CreditPlanner.h"
#include "policy/GangPlanner.h"
#include "policy/Preemption.h"
#include "policy/QuotaPlanner.h"
#include "shard/Journal.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::policy;

namespace {

Resources generateSize() {
  return {.MilliCores = *rc::gen::inRange(0U, 5'000U),
          .MemoryMb = *rc::gen::inRange(0U, 3'000U),
          .Accelerators = *rc::gen::inRange(0U, 3U)};
}

InstancePool generatePool() {
  InstancePool Pool;
  auto InstanceCount = *rc::gen::inRange(1U, 12U);
  for (uint32_t I = 0; I < InstanceCount; ++I)
    Pool.add({.MilliCores = *rc::gen::inRange(1'000U, 16'000U),
              .MemoryMb = *rc::gen::inRange(1'000U, 8'000U),
              .Accelerators = *rc::gen::inRange(0U, 8U)},
             I / 3);
  return Pool;
}

uint32_t countHeldSlots(const CreditTable::Endpoint &Endpoint) {
  return Endpoint.Slots - Endpoint.unheldSlots();
}

} // namespace

// clang-format off
TEST_GROUP(ForAllInputs) {};
// clang-format on

TEST(ForAllInputs, ReservationsNeverExceedAnInstancesCapacity) {
  CHECK(rc::check("pool", [] {
    InstancePool Pool = generatePool();
    for (int I = 0; I < 60; ++I) {
      PlacementRequest Request{.Size = generateSize(),
                               .Tightness = *rc::gen::inRange(0, 11) / 10.0};
      auto Instance = Pool.chooseInstance(Request);
      if (!Instance)
        continue;
      Resources FreeBefore = Pool.freeCapacity(*Instance);
      RC_ASSERT(Pool.reserve(*Instance, Request.Size));
      RC_ASSERT(Request.Size.fitsIn(FreeBefore));
      RC_ASSERT(Pool.freeCapacity(*Instance).fitsIn(Pool.capacity(*Instance)));
    }
  }));
}

TEST(ForAllInputs, AGangIsPlacedWholeOrNotAtAll) {
  CHECK(rc::check("gang", [] {
    InstancePool Pool = generatePool();
    std::vector<Resources> FreeBefore;
    for (uint32_t I = 0; I < Pool.size(); ++I)
      FreeBefore.push_back(Pool.freeCapacity(I));
    Resources Size = generateSize();
    auto TaskCount = *rc::gen::inRange(1U, 20U);
    auto Instances = placeGang(Pool, {.Size = Size}, TaskCount);
    for (uint32_t I = 0; I < Pool.size(); ++I)
      RC_ASSERT(Pool.freeCapacity(I) == FreeBefore[I]);
    if (!Instances)
      return;
    RC_ASSERT(Instances->size() == TaskCount);
    for (uint32_t Instance : *Instances)
      RC_ASSERT(Pool.reserve(Instance, Size));
  }));
}

TEST(ForAllInputs, AnAdvanceReservationFitsTheGangAtItsStart) {
  CHECK(rc::check("reservation", [] {
    InstancePool Pool = generatePool();
    std::vector<RunningTask> Running;
    TimePoint Now(Millis(1'000'000));
    for (int I = 0; I < 20; ++I) {
      Resources Size = generateSize();
      auto Instance = Pool.chooseInstance({.Size = Size});
      if (!Instance)
        continue;
      Pool.reserve(*Instance, Size);
      Running.push_back(
          {*Instance, Size, Now + Millis(*rc::gen::inRange(0, 10'000))});
    }
    Resources Size = generateSize();
    auto TaskCount = *rc::gen::inRange(1U, 10U);
    auto Plan = planAdvanceReservation(Pool, Running, Size, TaskCount, Now);
    if (!Plan)
      return;
    for (const RunningTask &Task : Running) {
      if (Task.ExpectedEnd <= Plan->Start)
        Pool.release(Task.Instance, Task.Size);
    }
    RC_ASSERT(placeGang(Pool, {.Size = Size}, TaskCount).has_value());
  }));
}

TEST(ForAllInputs, PreemptionMakesRoomAndSparesProtectedTasks) {
  CHECK(rc::check("preemption", [] {
    InstancePool Pool = generatePool();
    std::vector<PreemptionCandidate> Candidates;
    for (int I = 0; I < 30; ++I) {
      Resources Size = generateSize();
      auto Instance = Pool.chooseInstance({.Size = Size});
      if (!Instance)
        continue;
      Pool.reserve(*Instance, Size);
      Candidates.push_back(
          {.Instance = *Instance,
           .Size = Size,
           .WaitingTarget = Millis(*rc::gen::element(1'000, 60'000)),
           .Preemptions = *rc::gen::inRange(0U, 5U)});
    }
    Resources Wanted = generateSize();
    auto Plan = planPreemption(Pool, Wanted, Millis(2'000), Candidates);
    if (!Plan)
      return;
    for (size_t Victim : Plan->Victims) {
      RC_ASSERT(Candidates[Victim].Instance == Plan->Instance);
      RC_ASSERT(Candidates[Victim].Preemptions < MaxPreemptions);
      RC_ASSERT(Candidates[Victim].WaitingTarget == Millis(60'000));
      Pool.release(Plan->Instance, Candidates[Victim].Size);
    }
    RC_ASSERT(Wanted.fitsIn(Pool.freeCapacity(Plan->Instance)));
  }));
}

TEST(ForAllInputs, CreditsNeverExceedAnEndpointsSlots) {
  CHECK(rc::check("credits", [] {
    CreditTable Table;
    const std::vector<std::string> Holders = {"a/1", "b/1", "c/1"};
    CreditZone Zone{.ListVersion = 1,
                    .EndpointSlots = {{"e1", 8}, {"e2", 8}},
                    .LiveHolders = {Holders.begin(), Holders.end()}};
    for (int I = 0; I < 40; ++I) {
      HolderState Holder{.Name = *rc::gen::elementOf(Holders)};
      for (const auto &[EndpointName, Endpoint] : Table.Endpoints) {
        auto Held = Endpoint.HeldSlots.find(Holder.Name);
        if (Held != Endpoint.HeldSlots.end())
          Holder.IdleSlots[EndpointName] =
              *rc::gen::inRange(0U, Held->second + 1);
      }
      CreditPlan Plan = planCredits(Table, Zone, Holder);
      for (const auto &[EndpointName, Count] : Plan.GivenSlots)
        RC_ASSERT(Count <= Holder.IdleSlots[EndpointName]);
      for (const auto &[EndpointName, Endpoint] : Plan.NextTable.Endpoints)
        RC_ASSERT(countHeldSlots(Endpoint) <= 8U);
      auto Copy =
          entry::creditTableFromText(entry::creditTableToText(Plan.NextTable));
      RC_ASSERT(static_cast<bool>(Copy));
      Table = *Copy;
    }
  }));
}

TEST(ForAllInputs, SharesNeverExceedTheQuota) {
  CHECK(rc::check("quota", [] {
    QuotaShares Shares;
    Resources Quota{.MilliCores = 10'000, .MemoryMb = 5'000, .Accelerators = 4};
    for (int I = 0; I < 30; ++I) {
      std::string Shard = *rc::gen::element<std::string>("a", "b", "c");
      Resources Used; // Never more than the share held.
      Used.MilliCores = *rc::gen::inRange(0U, Shares[Shard].MilliCores + 1);
      Resources Wanted = generateSize();
      Shares[Shard] = planShare(Shares, Quota, Shard, Used, Wanted);
      Resources Sum;
      for (const auto &ShardAndShare : Shares)
        Sum += ShardAndShare.second;
      RC_ASSERT(Sum.fitsIn(Quota));
    }
  }));
}

TEST(ForAllInputs, AnySettingsTextIsParsedOrRefused) {
  CHECK(rc::check("settings", [](const std::string &Text) {
    std::vector<config::SettingsProblem> Problems;
    auto Options = config::parseSettings(Text, "f", Problems);
    RC_ASSERT(static_cast<bool>(Options) == Problems.empty());
  }));
}

TEST(ForAllInputs, AnyHeadersAreParsedOrRefusedWithTheFieldName) {
  CHECK(rc::check("headers", [](const std::string &Key,
                                const std::string &Deadline) {
    http::Request Incoming{.Method = "POST",
                           .Target = "/v1/services/s/requests",
                           .Headers = {{"Idempotency-Key", Key},
                                       {"Daisylanding-Deadline-Ms", Deadline}}};
    http::Response Refusal;
    auto Parsed = caller::parseCallerRequest(Incoming, {}, Refusal);
    // RC_ASSERT evaluates both sides of ||, and a refusal has a body only if
    // the request is refused.
    if (Parsed)
      return;
    RC_ASSERT(Refusal.Status >= 400 && Refusal.Status < 500);
    RC_ASSERT(nlohmann::json::parse(Refusal.Body).contains("field"));
  }));
}

TEST(ForAllInputs, AnyPlatformTextIsParsedOrRefused) {
  CHECK(rc::check("platform", [](const std::string &Text) {
    platform::PlatformDocumentCodec Codec;
    node::FieldError Error;
    (void)Codec.parseConfig(Text);
    (void)Codec.parseExecutor("i-1", Text);
    bool Read = static_cast<bool>(Codec.parseJob(Text, Error));
    RC_ASSERT(Read == Error.Field.empty());
    (void)cell::decodeJob(Text);
    (void)cell::decodeProgress(Text);
    (void)cell::decodeProgress("2;running;0;;" + Text);
    (void)cell::decodeProgress("2;running;0;;1:e1:a;0.0=" + Text);
    (void)cell::decodeOwnerRow(Text);
    (void)cell::parseTaskName(Text);
    (void)decodeBase64(Text);
  }));
}

TEST(ForAllInputs, AnyStoredDocumentTextIsParsedOrRefused) {
  CHECK(rc::check("documents", [](const std::string &Text) {
    (void)config::configFromText(Text);
    (void)shard::journalRowFromText(Text);
    (void)worker::syncReportFromText(Text);
    (void)entry::creditTableFromText(Text);
    config::InputProblem Problem;
    auto Body = nlohmann::json::parse(Text, nullptr, false);
    RC_ASSERT_FALSE(static_cast<bool>(config::jobSpecFromJson(Body, Problem)));
    RC_ASSERT_FALSE(Problem.Field.empty());
  }));
}
