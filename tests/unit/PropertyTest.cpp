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

Resources anySize() {
  return {.MilliCores = *rc::gen::inRange(0U, 5'000U),
          .MemoryMb = *rc::gen::inRange(0U, 3'000U),
          .Accelerators = *rc::gen::inRange(0U, 3U)};
}

InstancePool anyPool() {
  InstancePool Pool;
  auto Count = *rc::gen::inRange(1U, 12U);
  for (uint32_t I = 0; I < Count; ++I)
    Pool.add({.MilliCores = *rc::gen::inRange(1'000U, 16'000U),
              .MemoryMb = *rc::gen::inRange(1'000U, 8'000U),
              .Accelerators = *rc::gen::inRange(0U, 8U)},
             I / 3);
  return Pool;
}

uint32_t heldInAll(const CreditTable::Endpoint &Each) {
  return Each.Slots - Each.unheld();
}

} // namespace

// clang-format off
TEST_GROUP(ForAllInputs) {};
// clang-format on

TEST(ForAllInputs, NoInstanceIsGivenMoreThanItHolds) {
  CHECK(rc::check("pool", [] {
    InstancePool Pool = anyPool();
    for (int I = 0; I < 60; ++I) {
      PlacementRequest Request{.Size = anySize(),
                               .Tightness = *rc::gen::inRange(0, 11) / 10.0};
      auto Place = Pool.choose(Request);
      if (!Place)
        continue;
      Resources Before = Pool.free(*Place);
      RC_ASSERT(Pool.take(*Place, Request.Size));
      RC_ASSERT(Request.Size.fitsIn(Before));
      RC_ASSERT(Pool.free(*Place).fitsIn(Pool.capacity(*Place)));
    }
  }));
}

TEST(ForAllInputs, AGangIsPlacedWholeOrNotAtAll) {
  CHECK(rc::check("gang", [] {
    InstancePool Pool = anyPool();
    std::vector<Resources> Before;
    for (uint32_t I = 0; I < Pool.size(); ++I)
      Before.push_back(Pool.free(I));
    Resources Size = anySize();
    auto Tasks = *rc::gen::inRange(1U, 20U);
    auto Places = placeGang(Pool, {.Size = Size}, Tasks);
    for (uint32_t I = 0; I < Pool.size(); ++I)
      RC_ASSERT(Pool.free(I) == Before[I]);
    if (!Places)
      return;
    RC_ASSERT(Places->size() == Tasks);
    for (uint32_t Place : *Places)
      RC_ASSERT(Pool.take(Place, Size));
  }));
}

TEST(ForAllInputs, AReservationHoldsTheGangAtItsStart) {
  CHECK(rc::check("reservation", [] {
    InstancePool Pool = anyPool();
    std::vector<RunningTask> Running;
    TimePoint Now(Millis(1'000'000));
    for (int I = 0; I < 20; ++I) {
      Resources Size = anySize();
      auto Place = Pool.choose({.Size = Size});
      if (!Place)
        continue;
      Pool.take(*Place, Size);
      Running.push_back(
          {*Place, Size, Now + Millis(*rc::gen::inRange(0, 10'000))});
    }
    Resources Size = anySize();
    auto Tasks = *rc::gen::inRange(1U, 10U);
    auto Plan = planReservation(Pool, Running, Size, Tasks, Now);
    if (!Plan)
      return;
    for (const RunningTask &Each : Running) {
      if (Each.ExpectedEnd <= Plan->Start)
        Pool.give(Each.Instance, Each.Size);
    }
    RC_ASSERT(placeGang(Pool, {.Size = Size}, Tasks).has_value());
  }));
}

TEST(ForAllInputs, PreemptionMakesRoomAndSparesTheProtected) {
  CHECK(rc::check("preemption", [] {
    InstancePool Pool = anyPool();
    std::vector<PreemptionCandidate> Candidates;
    for (int I = 0; I < 30; ++I) {
      Resources Size = anySize();
      auto Place = Pool.choose({.Size = Size});
      if (!Place)
        continue;
      Pool.take(*Place, Size);
      Candidates.push_back(
          {.Instance = *Place,
           .Size = Size,
           .WaitingTarget = Millis(*rc::gen::element(1'000, 60'000)),
           .Preemptions = *rc::gen::inRange(0U, 5U)});
    }
    Resources Wanted = anySize();
    auto Plan = planPreemption(Pool, Wanted, Millis(2'000), Candidates);
    if (!Plan)
      return;
    for (size_t Victim : Plan->Victims) {
      RC_ASSERT(Candidates[Victim].Instance == Plan->Instance);
      RC_ASSERT(Candidates[Victim].Preemptions < MaxPreemptions);
      RC_ASSERT(Candidates[Victim].WaitingTarget == Millis(60'000));
      Pool.give(Plan->Instance, Candidates[Victim].Size);
    }
    RC_ASSERT(Wanted.fitsIn(Pool.free(Plan->Instance)));
  }));
}

TEST(ForAllInputs, CreditsNeverExceedAnEndpointsSlots) {
  CHECK(rc::check("credits", [] {
    CreditTable Table;
    const std::vector<std::string> Holders = {"a/1", "b/1", "c/1"};
    CreditZone Zone{.ListVersion = 1,
                    .Slots = {{"e1", 8}, {"e2", 8}},
                    .Live = {Holders.begin(), Holders.end()}};
    for (int I = 0; I < 40; ++I) {
      CreditDemand Demand{.Holder = *rc::gen::elementOf(Holders)};
      for (const auto &[Name, Each] : Table.Endpoints) {
        auto Mine = Each.Held.find(Demand.Holder);
        if (Mine != Each.Held.end())
          Demand.Idle[Name] = *rc::gen::inRange(0U, Mine->second + 1);
      }
      CreditPlan Plan = planCredits(Table, Zone, Demand);
      for (const auto &[Name, Count] : Plan.Given)
        RC_ASSERT(Count <= Demand.Idle[Name]);
      for (const auto &[Name, Each] : Plan.Next.Endpoints)
        RC_ASSERT(heldInAll(Each) <= 8U);
      auto Copy =
          entry::creditTableFromText(entry::creditTableToText(Plan.Next));
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
      Resources Wanted = anySize();
      Shares[Shard] = planShare(Shares, Quota, Shard, Used, Wanted);
      Resources Sum;
      for (const auto &Each : Shares)
        Sum += Each.second;
      RC_ASSERT(Sum.fitsIn(Quota));
    }
  }));
}

TEST(ForAllInputs, AnyTextAsSettingsIsRefusedOrRead) {
  CHECK(rc::check("settings", [](const std::string &Text) {
    std::vector<config::SettingsProblem> Problems;
    auto Options = config::parseSettings(Text, "f", Problems);
    RC_ASSERT(static_cast<bool>(Options) == Problems.empty());
  }));
}

TEST(ForAllInputs, AnyHeadersAreRefusedWithTheFieldOrRead) {
  CHECK(rc::check("headers", [](const std::string &Key,
                                const std::string &Deadline) {
    http::Request Incoming{.Method = "POST",
                           .Target = "/v1/services/s/requests",
                           .Headers = {{"Idempotency-Key", Key},
                                       {"Daisylanding-Deadline-Ms", Deadline}}};
    http::Response Refusal;
    auto Parsed = caller::parseCallerRequest(Incoming, {}, Refusal);
    // The macro evaluates both sides of an `||`; a refusal has a body only if
    // there is one.
    if (Parsed)
      return;
    RC_ASSERT(Refusal.Status >= 400 && Refusal.Status < 500);
    RC_ASSERT(nlohmann::json::parse(Refusal.Body).contains("field"));
  }));
}

TEST(ForAllInputs, AnyTextOfThePlatformIsRefusedOrRead) {
  CHECK(rc::check("platform", [](const std::string &Text) {
    platform::PlatformDocumentCodec Codec;
    node::FieldError Error;
    (void)Codec.parseConfig(Text);
    (void)Codec.parseExecutor("i-1", Text);
    bool Read = static_cast<bool>(Codec.parseJob(Text, Error));
    RC_ASSERT(Read == Error.Field.empty());
    (void)cell::decodeJob(Text);
    (void)cell::decodeProgress(Text);
    (void)cell::decodeOwner(Text);
    (void)cell::parseTaskName(Text);
    (void)decodeBase64(Text);
  }));
}

TEST(ForAllInputs, AnyTextAsStoredDocumentIsRefusedOrRead) {
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
