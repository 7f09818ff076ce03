#include "relay/RelayLoop.h"

#include <condition_variable>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::relay;

namespace {

/// Outcomes of offers as they arrive, by job id.
class OfferResults {
public:
  void add(const std::string &Id, const Result<cell::OfferOutcome> &Outcome) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Outcomes.emplace(Id, Outcome);
    Changed.notify_all();
  }
  Result<cell::OfferOutcome> waitFor(const std::string &Id) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait(Lock, [&] { return Outcomes.count(Id) > 0; });
    return Outcomes.at(Id);
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Result<cell::OfferOutcome>> Outcomes;
};

cell::JobSpec makeJob(const std::string &Id) {
  cell::JobSpec Job;
  Job.Workspace = "a";
  Job.Id = Id;
  Job.Queue = "q";
  Job.Steps.push_back({.Count = 1});
  return Job;
}

RelayLoop::LocalAdviceQueue fullAdviceQueue() {
  return [](const executor::AdviceCall &, const executor::AdviceDone &) {
    return false;
  };
}

/// Not used by any test that runs at the same time.
constexpr uint16_t OwnerPort = 26'811;
constexpr uint16_t EntryPort = 26'812;
constexpr const char *FirstJobId = "00000000000000a1";
constexpr const char *SecondJobId = "00000000000000a2";

} // namespace

// clang-format off
TEST_GROUP(AnEntryOfferingToABusyOwner) {
  cell::OfferRegistry OwnerOffers;
  cell::OfferRegistry EntryOffers;
  std::shared_ptr<cell::OfferMailbox> OfferQueue = std::make_shared<cell::OfferMailbox>(8, [] {});
  RelayLoop Owner{{.Listen = {.Port = OwnerPort}}, fullAdviceQueue(), OwnerOffers};
  RelayLoop Entry{{.Listen = {.Port = EntryPort}}, fullAdviceQueue(), EntryOffers};
  OfferResults Results;

  void setup() override {
    OwnerOffers.registerOwner("s", OfferQueue);
    CHECK_FALSE(static_cast<bool>(Owner.start()));
    CHECK_FALSE(static_cast<bool>(Entry.start()));
  }
  void teardown() override {
    Entry.stop();
    Owner.stop();
  }
  void offer(const std::string &Id, Millis Timeout) {
    CHECK_TRUE(Entry.Offers.push(
        {.Address = "127.0.0.1:" + std::to_string(OwnerPort),
         .Service = "s",
         .Job = cell::encodeJob(makeJob(Id)),
         .Timeout = Timeout,
         .Done = [this, Id](const Result<cell::OfferOutcome> &Outcome) { Results.add(Id, Outcome); }}));
  }
  cell::Offer takeOffer() {
    cell::Offer Offer;
    while (!OfferQueue->pop(Offer))
      std::this_thread::yield();
    return Offer;
  }
};
// clang-format on

TEST(AnEntryOfferingToABusyOwner, AnOfferThatTimesOutDoesNotAbortTheOthers) {
  offer(FirstJobId, Millis(50));
  offer(SecondJobId, Millis(60'000));
  cell::Offer FirstTaken = takeOffer();
  cell::Offer SecondTaken = takeOffer();
  CHECK(Results.waitFor(FirstJobId).error() == Errc::AnswerLost);
  (FirstTaken.Job.Id == SecondJobId ? FirstTaken : SecondTaken)
      .Done(cell::OfferOutcome::Expired);
  Result<cell::OfferOutcome> OfferResult = Results.waitFor(SecondJobId);
  CHECK_TRUE(static_cast<bool>(OfferResult));
  CHECK(*OfferResult == cell::OfferOutcome::Expired);
}

TEST(AnEntryOfferingToABusyOwner, TheOwnerReceivesTheWorkspaceOfTheJob) {
  offer(FirstJobId, Millis(60'000));
  cell::Offer Taken = takeOffer();
  STRCMP_EQUAL("a", Taken.Job.Workspace.c_str());
  Taken.Done(cell::OfferOutcome::Stored);
  CHECK(*Results.waitFor(FirstJobId) == cell::OfferOutcome::Stored);
}

TEST(AnEntryOfferingToABusyOwner, TheOwnerReceivesTheTimeLeft) {
  offer(FirstJobId, Millis(60'000));
  cell::Offer FirstTaken = takeOffer();
  LONGS_EQUAL(60'000, FirstTaken.TimeLeft.count());
  FirstTaken.Done(cell::OfferOutcome::Stored);
  Result<cell::OfferOutcome> OfferResult = Results.waitFor(FirstJobId);
  CHECK_TRUE(static_cast<bool>(OfferResult));
  CHECK(*OfferResult == cell::OfferOutcome::Stored);
}

TEST(AnEntryOfferingToABusyOwner, TheEntryIsToldThatAJobIsRefused) {
  offer(FirstJobId, Millis(60'000));
  takeOffer().Done(cell::OfferOutcome::Refused);
  Result<cell::OfferOutcome> OfferResult = Results.waitFor(FirstJobId);
  CHECK_TRUE(static_cast<bool>(OfferResult));
  CHECK(*OfferResult == cell::OfferOutcome::Refused);
}
