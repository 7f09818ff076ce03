#include "http/RequestBudget.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::http;

namespace {

constexpr size_t BodyBytes = 1'000;

} // namespace

// clang-format off
TEST_GROUP(ABudgetOfTenBodies) {
  RequestBudget Budget{{.MaxRequestBytes = 10 * BodyBytes, .MaxConnectionBytes = 4 * BodyBytes, .MaxConnections = 40,
                        .MaxOpenRequests = 3}};
  TimePoint Now{Millis(1'000'000)};
  using Closed = std::set<RequestBudget::ConnectionId>;

  static Closed named(const std::vector<RequestBudget::Eviction> &Evicted) {
    Closed Ids;
    for (const auto &Next : Evicted)
      Ids.insert(Next.Connection);
    return Ids;
  }
  Closed open(uint64_t Id, std::string_view Address = "10.0.0.1") { return named(Budget.open(Id, Address, false, Now)); }
  Closed receivePart(uint64_t Id, size_t Bytes) { return receivePart(Id, Bytes, Now); }
  Closed receivePart(uint64_t Id, size_t Bytes, TimePoint Since) {
    return named(Budget.receive(Id, {.PartialBytes = Bytes, .Since = Since}, Now));
  }
  Closed receiveWhole(uint64_t Id, size_t Bytes = BodyBytes) {
    return named(Budget.receive(Id, {.Since = Now, .WholeBytes = {&Bytes, 1}}, Now));
  }
  void openAll(uint64_t First, uint64_t Last) {
    for (uint64_t Id = First; Id <= Last; ++Id)
      CHECK(open(Id).empty());
  }
};
TEST_GROUP_BASE(WithNineWholeRequests, TEST_GROUP_CppUTestGroupABudgetOfTenBodies) {
  void setup() override {
    openAll(1, 20);
    for (uint64_t Id = 1; Id <= 9; ++Id)
      CHECK(receiveWhole(Id).empty());
  }
};
TEST_GROUP_BASE(WithABudgetByAddress, TEST_GROUP_CppUTestGroupABudgetOfTenBodies) {
  RequestBudget Budget{{.MaxRequestBytes = 10 * BodyBytes, .MaxAddressBytes = 3 * BodyBytes, .MaxAddressConnections = 4}};
  Closed openAt(uint64_t Id, std::string_view Address) { return named(Budget.open(Id, Address, false, Now)); }
  Closed part(uint64_t Id, size_t Bytes) { return named(Budget.receive(Id, {.PartialBytes = Bytes, .Since = Now}, Now)); }
};
// clang-format on

TEST(ABudgetOfTenBodies, TakesAllThatFits) {
  openAll(1, 10);
  for (uint64_t Id = 1; Id <= 10; ++Id)
    CHECK(receivePart(Id, BodyBytes).empty());
  LONGS_EQUAL(10 * BodyBytes, Budget.heldBytes());
}

TEST(ABudgetOfTenBodies, ClosesTheCostliestFirst) {
  openAll(1, 10);
  for (uint64_t Id = 1; Id <= 8; ++Id)
    receivePart(Id, BodyBytes);
  receivePart(9, 2 * BodyBytes);
  CHECK(receivePart(10, BodyBytes / 2) == Closed{9});
}

TEST(ABudgetOfTenBodies, ClosesTheSlowestOfEqualOnesFirst) {
  openAll(1, 11);
  for (uint64_t Id = 1; Id <= 10; ++Id)
    receivePart(Id, BodyBytes, Id == 4 || Id == 7 ? Now - Millis(500) : Now);
  CHECK(receivePart(11, BodyBytes / 2) == (Closed{4, 7}));
}

TEST(ABudgetOfTenBodies, ServesASingleRequestBesideACrowdThatStopsShort) {
  openAll(1, 40);
  for (uint64_t Id = 1; Id <= 39; ++Id)
    receivePart(Id, BodyBytes - 1, Now - Millis(Id));
  CHECK(receivePart(40, BodyBytes / 2).count(40) == 0);
  CHECK(receiveWhole(40).count(40) == 0);
  CHECK(Budget.heldBytes() <= 10 * BodyBytes);
}

TEST(ABudgetOfTenBodies, ClosesAConnectionThatHoldsTooMuchAlone) {
  openAll(1, 2);
  receivePart(2, BodyBytes, Now - Millis(500));
  CHECK(receivePart(1, 4 * BodyBytes + 1) == Closed{1});
  LONGS_EQUAL(BodyBytes, Budget.heldBytes());
}

TEST(ABudgetOfTenBodies, ForgetsAClosedConnection) {
  openAll(1, 1);
  receivePart(1, BodyBytes);
  Budget.close(1);
  LONGS_EQUAL(0, Budget.heldBytes());
  LONGS_EQUAL(0, Budget.openConnections());
}

TEST(WithNineWholeRequests, KeepsThemAndRefusesWhatDoesNotFit) {
  CHECK(receivePart(10, BodyBytes).empty());
  CHECK(receivePart(11, 2 * BodyBytes).count(11) == 1);
  LONGS_EQUAL(9, Budget.heldBytes() / BodyBytes);
}

TEST(WithNineWholeRequests, RefusesOneThatArrivesInOnePiece) {
  CHECK(receiveWhole(10).empty());
  CHECK(receiveWhole(11) == Closed{11});
}

TEST(WithNineWholeRequests, CountsThemThoughTheirConnectionsAreGone) {
  for (uint64_t Id = 1; Id <= 9; ++Id)
    Budget.close(Id);
  LONGS_EQUAL(9 * BodyBytes, Budget.heldBytes());
  for (uint64_t Id = 1; Id <= 9; ++Id)
    Budget.release(Id, BodyBytes);
  LONGS_EQUAL(0, Budget.heldBytes());
  CHECK(receivePart(10, 4 * BodyBytes).empty());
}

/// Guards against what waits unread in the sockets of clients that send
/// requests ahead.
TEST(ABudgetOfTenBodies, CountsWhatAConnectionThatIsNotReadFromMayHold) {
  openAll(1, 1);
  CHECK(receiveWhole(1, 10).empty());
  CHECK(receiveWhole(1, 10).empty());
  CHECK(receiveWhole(1, 10) == Closed{1});
}

TEST(ABudgetOfTenBodies, ClosesTheOldestIdleConnectionForANewOne) {
  openAll(1, 40);
  receivePart(1, 10, Now);
  receiveWhole(2);
  receivePart(3, 10, Now - Millis(900));
  CHECK(open(41) == Closed{3});
  LONGS_EQUAL(40, Budget.openConnections());
}

TEST(ABudgetOfTenBodies, ClosesANewConnectionIfAllOthersAreBeingAnswered) {
  openAll(1, 40);
  for (uint64_t Id = 1; Id <= 40; ++Id)
    receiveWhole(Id, 1);
  CHECK(open(41) == Closed{41});
  Budget.recordAnswer(5);
  Now += Millis(1);
  CHECK(open(42) == Closed{5});
}

TEST(ABudgetOfTenBodies, ClosesOneForANewOneIfFewDescriptorsAreLeft) {
  openAll(1, 2);
  Now += Millis(1);
  CHECK(named(Budget.open(3, "10.0.0.1", true, Now)) == Closed{1});
}

TEST(WithABudgetByAddress, LimitsOneAddressAndLeavesOthersAlone) {
  for (uint64_t Id = 1; Id <= 4; ++Id)
    CHECK(openAt(Id, "10.0.0.1").empty());
  CHECK(openAt(9, "10.0.0.2").empty());
  part(9, 2 * BodyBytes);
  for (uint64_t Id = 1; Id <= 3; ++Id)
    CHECK(part(Id, BodyBytes).empty());
  Closed Named = part(4, BodyBytes);
  CHECK(!Named.empty() && Named.count(9) == 0);
  CHECK(openAt(10, "10.0.0.2").empty());
}

TEST(WithABudgetByAddress, LimitsItsConnections) {
  for (uint64_t Id = 1; Id <= 4; ++Id)
    openAt(Id, "10.0.0.1");
  CHECK(openAt(9, "10.0.0.2").empty());
  Now += Millis(1);
  LONGS_EQUAL(1, openAt(5, "10.0.0.1").size());
  LONGS_EQUAL(5, Budget.openConnections());
}
