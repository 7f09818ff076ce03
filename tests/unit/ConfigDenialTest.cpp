#include "cell/EndedJob.h"
#include "node/IntakeLoop.h"
#include "platform/PlatformPorts.h"
#include "unit/CapturedOutput.h"

#include <future>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

constexpr const char *JobPath = "/q/00000000000000a1";
constexpr const char *NewQueuePath = "/added/";
constexpr Millis LongAgo{60'000};

/// Rows that a test sets; reads are answered at once.
struct FewRows {
  std::string EndedJob; ///< Encoded; empty if there is none.
  std::function<void()> OnRead = [] {};
};

class FewRowsStore final : public store::RowStore {
public:
  explicit FewRowsStore(const FewRows &Rows) : Rows(Rows) {}
  void commit(const store::Transaction &, store::TransactionDone) override {}
  void read(const store::RangeRead &Range, store::ReadDone Done) override {
    Rows.OnRead();
    store::RowPage Page{.StoreClockMs = 1};
    if (Range.Table == cell::EndedTable && !Rows.EndedJob.empty())
      Page.Rows.push_back({.Key = Range.From, .Value = Rows.EndedJob});
    Done(std::move(Page));
  }
  void readChanges(const store::ChangeQuery &, store::ChangesDone) override {}

private:
  const FewRows &Rows;
};

class StorePorts final : public Ports {
public:
  const DocumentCodec &codec() const override { return Codec; }
  std::unique_ptr<store::RowStore>
  makeRowStore(http::MultiClient &) const override {
    return std::make_unique<FewRowsStore>(Rows);
  }
  std::unique_ptr<executor::ExecutorPort>
  makeExecutorPort(http::MultiClient &) const override {
    return nullptr;
  }
  std::unique_ptr<executor::AdvicePort>
  makeAdvicePort(http::MultiClient &) const override {
    return nullptr;
  }

  FewRows Rows;

private:
  platform::PlatformDocumentCodec Codec;
};

} // namespace

// clang-format off
TEST_GROUP(AnEntryThatIsAsked) {
  StorePorts Ports;
  EntryContext Context{config::CellSettings{}, "1", Ports};
  relay::RelayLoop Relay{{}, {}, Context.Offers};
  IntakeLoop Intake{Context, Relay};

  void setup() override {
    Context.Config.replaceIfNewer(std::make_shared<const cell::CellConfig>(*Ports.codec().parseConfig(
        R"({"version":7,"routes":[{"name":"q","host":"h","path-prefix":"/q/","service":"s"},
            {"name":"open","host":"h","path-prefix":"/open/","service":"s","public":true}],
            "services":[{"name":"s"},{"name":"t"}],
            "tenants":[{"name":"a","api-keys":["k"]}]})")), false);
    Context.StoreHealth.recordAnswer(monotonicNow(), 1);
    Intake.start();
  }
  void confirmConfig(Millis Ago) { Context.ConfirmedConfig.record(monotonicNow() - Ago); }
  http::Response answerTo(const char *Method, const char *Path, const char *Key = "k") {
    constexpr std::chrono::seconds MaxWait{5};
    auto Answer = std::make_shared<std::promise<http::Response>>();
    auto Future = Answer->get_future();
    Intake.handle({.Method = Method, .Target = Path,
                   .Headers = {{"Host", "h"}, {"Authorization", std::string("Bearer ") + Key}}},
                  [Answer](http::Response Response) { Answer->set_value(std::move(Response)); });
    CHECK(Future.wait_for(MaxWait) == std::future_status::ready);
    return Future.get();
  }
  void checkRefused(const http::Response &Answer) {
    LONGS_EQUAL(http::StatusUnavailable, Answer.Status);
    CHECK(http::findHeader(Answer.Headers, "Retry-After"));
    CHECK(Answer.Body.find("config-unconfirmed") != std::string::npos);
  }
};

TEST_GROUP_BASE(WhoseConfigurationIsConfirmed, TEST_GROUP_CppUTestGroupAnEntryThatIsAsked) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnEntryThatIsAsked::setup();
    confirmConfig(Context.Options.MaxConfigDelay / 2);
  }
};

TEST_GROUP_BASE(WhoseConfigurationIsOfLongAgo, TEST_GROUP_CppUTestGroupAnEntryThatIsAsked) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnEntryThatIsAsked::setup();
    confirmConfig(LongAgo);
  }
};
// clang-format on

TEST(WhoseConfigurationIsConfirmed, DeniesWhatIsNotInIt) {
  LONGS_EQUAL(http::StatusNotFound, answerTo("GET", NewQueuePath).Status);
  LONGS_EQUAL(http::StatusUnauthorized, answerTo("GET", "/q/", "added").Status);
  LONGS_EQUAL(http::StatusGone, answerTo("GET", JobPath).Status);
  LONGS_EQUAL(http::StatusGone, answerTo("DELETE", JobPath).Status);
}

/// Guards against a new queue that callers are told doesn't exist.
TEST(WhoseConfigurationIsOfLongAgo, DoesNotDenyThatAQueueExists) {
  for (const char *Method : {"GET", "POST", "DELETE"})
    checkRefused(answerTo(Method, NewQueuePath));
}

/// Guards against a job in a new service that callers are told doesn't exist.
TEST(WhoseConfigurationIsOfLongAgo, DoesNotDenyThatAJobExists) {
  checkRefused(answerTo("GET", JobPath));
  checkRefused(answerTo("DELETE", JobPath));
}

/// Guards against a new key that is refused as unknown.
TEST(WhoseConfigurationIsOfLongAgo, DoesNotDenyThatAKeyExists) {
  checkRefused(answerTo("GET", "/q/", "added"));
}

TEST(WhoseConfigurationIsOfLongAgo, ServesWhatItFinds) {
  Ports.Rows.EndedJob =
      cell::encodeEndedJob({.Phase = cell::JobPhase::Completed, .Queue = "q"});
  LONGS_EQUAL(http::StatusOk, answerTo("GET", JobPath).Status);
  LONGS_EQUAL(http::StatusOk, answerTo("DELETE", JobPath).Status);
  // No owner's row was read.
  http::Response Count = answerTo("GET", "/open/", "");
  CHECK(Count.Body.find("pending-unknown") != std::string::npos);
}

/// Guards against a search by an old configuration that counts as one by the
/// configuration that is confirmed meanwhile.
TEST(WhoseConfigurationIsOfLongAgo, SearchedByItThoughANewerOneIsConfirmed) {
  Ports.Rows.OnRead = [this] { confirmConfig(Millis(0)); };
  checkRefused(answerTo("GET", JobPath));
  LONGS_EQUAL(http::StatusGone, answerTo("GET", JobPath).Status);
}

TEST(WhoseConfigurationIsOfLongAgo, DeniesAgainOnceItIsConfirmed) {
  checkRefused(answerTo("GET", NewQueuePath));
  confirmConfig(Millis(0));
  LONGS_EQUAL(http::StatusNotFound, answerTo("GET", NewQueuePath).Status);
}

/// Guards against a log that grows with the number of such requests.
TEST(WhoseConfigurationIsOfLongAgo, TellsItInOneLineASecond) {
  constexpr int Requests = 10;
  CapturedOutput Output;
  TimePoint Begin = monotonicNow();
  for (int I = 0; I < Requests; ++I)
    checkRefused(answerTo("GET", NewQueuePath));
  auto WholeSeconds =
      std::chrono::duration_cast<std::chrono::seconds>(monotonicNow() - Begin);
  size_t Lines = Output.countLinesWith(
      "event=config-unconfirmed version=7 confirmed_ms_ago=60");
  CHECK(Lines >= 1);
  CHECK(Lines <= 2 + static_cast<size_t>(WholeSeconds.count()));
}
