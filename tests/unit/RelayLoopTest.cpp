#include "relay/RelayLoop.h"

#include <condition_variable>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::relay;

namespace {

/// Verdicts as they come, by job.
class Told {
public:
  void add(const std::string &Id, const Result<cell::OfferOutcome> &Answer) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Answers.emplace(Id, Answer);
    Changed.notify_all();
  }
  Result<cell::OfferOutcome> of(const std::string &Id) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait(Lock, [&] { return Answers.count(Id) > 0; });
    return Answers.at(Id);
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Result<cell::OfferOutcome>> Answers;
};

cell::JobSpec job(const std::string &Id) {
  cell::JobSpec Out;
  Out.Id = Id;
  Out.Queue = "q";
  Out.Steps.push_back({.Count = 1});
  return Out;
}

RelayLoop::OwnLine noLine() {
  return [](const executor::AdviceCall &, const executor::AdviceDone &) {
    return false;
  };
}

/// Used by no other test that runs beside this one.
constexpr uint16_t OwnerPort = 26'811;
constexpr uint16_t EntryPort = 26'812;
constexpr const char *First = "00000000000000a1";
constexpr const char *Second = "00000000000000a2";

} // namespace

// clang-format off
TEST_GROUP(AnEntryThatOffersToABusyOwner) {
  cell::OfferRegistry OwnersDesk;
  cell::OfferRegistry EntrysDesk;
  std::shared_ptr<cell::OfferMailbox> Box = std::make_shared<cell::OfferMailbox>(8, [] {});
  RelayLoop Owner{{.Listen = {.Port = OwnerPort}}, noLine(), OwnersDesk};
  RelayLoop Entry{{.Listen = {.Port = EntryPort}}, noLine(), EntrysDesk};
  Told Words;

  void setup() override {
    OwnersDesk.registerOwner("s", Box);
    CHECK_FALSE(static_cast<bool>(Owner.start()));
    CHECK_FALSE(static_cast<bool>(Entry.start()));
  }
  void teardown() override {
    Entry.stop();
    Owner.stop();
  }
  void offer(const std::string &Id, Millis Timeout) {
    CHECK_TRUE(Entry.OfferCalls.push(
        {.Address = "127.0.0.1:" + std::to_string(OwnerPort),
         .Service = "s",
         .Job = cell::encodeJob(job(Id)),
         .Within = Millis(60'000),
         .Timeout = Timeout,
         .Done = [this, Id](const Result<cell::OfferOutcome> &Answer) { Words.add(Id, Answer); }}));
  }
  cell::Offer taken() {
    cell::Offer Out;
    while (!Box->pop(Out))
      std::this_thread::yield();
    return Out;
  }
};
// clang-format on

TEST(AnEntryThatOffersToABusyOwner, OneThatTimesOutDoesNotCutOffTheOthers) {
  offer(First, Millis(50));
  offer(Second, Millis(60'000));
  cell::Offer One = taken();
  cell::Offer Other = taken();
  CHECK(Words.of(First).error() == Errc::AnswerLost);
  (One.Job.Id == Second ? One : Other).Done(cell::OfferOutcome::Expired);
  Result<cell::OfferOutcome> Word = Words.of(Second);
  CHECK_TRUE(static_cast<bool>(Word));
  CHECK(*Word == cell::OfferOutcome::Expired);
}

TEST(AnEntryThatOffersToABusyOwner, TheOwnerHearsHowLongItsWordIsOfUse) {
  offer(First, Millis(60'000));
  cell::Offer One = taken();
  LONGS_EQUAL(60'000, One.TimeLeft.count());
  One.Done(cell::OfferOutcome::Stored);
  Result<cell::OfferOutcome> Word = Words.of(First);
  CHECK_TRUE(static_cast<bool>(Word));
  CHECK(*Word == cell::OfferOutcome::Stored);
}
