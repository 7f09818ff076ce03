#ifndef DAISYLANDING_TESTS_PROCESS_CELLFIXTURE_H
#define DAISYLANDING_TESTS_PROCESS_CELLFIXTURE_H

#include "harness/Process.h"
#include "http/Client.h"
#include "http/Server.h"
#include "standin/CellPlatform.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace daisylanding::celltest {

using nlohmann::json;

constexpr uint16_t PlatformPort = 7'940;
constexpr uint16_t FirstEntryPort = 7'950;
constexpr uint16_t PortsPerEntry = 4;
constexpr const char *Folder = "cell-run";
constexpr Millis MaxWait{20'000};

inline std::string jobId(int Number) { return fmt::format("{:016x}", Number); }

inline std::string jobBody(int Tasks) {
  return json{{"spec", "work"},
              {"steps",
               {{{"count", Tasks},
                 {"cpu", 500},
                 {"mem-mb", 10},
                 {"est-runtime-ms", 250}}}}}
      .dump();
}

// clang-format off
/// Two entries of one service, `s`, with the queue `/q/`, and three executors.
TEST_BASE(CellOfTwoEntries) {
  standin::CellPlatform Platform;
  std::optional<http::Server> Server;
  std::vector<harness::Process> Entries;
  http::Client Client;

  void setup() override {
    std::filesystem::create_directories(Folder);
    http::ServerOptions Options;
    Options.Port = PlatformPort;
    Options.MaxBodyBytes = 4 << 20;
    Server.emplace(Options, Platform);
    CHECK_FALSE(Server->start());
    Platform.configure(1, true);
    for (int I = 0; I < 3; ++I)
      Platform.addExecutor(fmt::format("i-{}", I), fmt::format("127.0.0.1:{}", PlatformPort), 8'000);
    for (int I = 0; I < 2; ++I)
      startEntry(I);
    for (int I = 0; I < 2; ++I)
      CHECK(eventually([&] { return get(I, 1, "/ready") == 200; }));
    // Entries know it once the service's first owner has counted its jobs.
    for (int I = 0; I < 2; ++I)
      CHECK(eventually([&] { return get(I, 0, "/q/") == 200; }));
  }
  void teardown() override {
    Entries.clear();
    Platform.shutDown();
    Server.reset();
    for (const std::string &Violation : Platform.violations())
      FAIL(Violation.c_str());
  }

  static uint16_t port(int Entry, int Listener) {
    return static_cast<uint16_t>(FirstEntryPort + Entry * PortsPerEntry + Listener);
  }
  void startEntry(int Entry, uint16_t StorePort = PlatformPort, const char *Bounds = "") {
    std::string File = fmt::format("{}/entry{}.toml", Folder, Entry);
    std::ofstream(File) << fmt::format(
        "[entry]\nname = \"e{}\"\nzone = \"za\"\n[listen]\ncallers = \"127.0.0.1:{}\"\n"
        "readiness = \"127.0.0.1:{}\"\nrelay = \"127.0.0.1:{}\"\noperators = \"127.0.0.1:{}\"\n"
        "[services]\nstore = \"127.0.0.1:{}\"\nadvice = \"127.0.0.1:{}\"\n[bounds]\n{}\n",
        Entry, port(Entry, 0), port(Entry, 1), port(Entry, 2), port(Entry, 3), StorePort, PlatformPort, Bounds);
    harness::Process Child({"./daisylanding", "serve", "--config", File}, fmt::format("{}/entry{}.log", Folder, Entry));
    if (static_cast<size_t>(Entry) < Entries.size())
      Entries[static_cast<size_t>(Entry)] = std::move(Child);
    else
      Entries.push_back(std::move(Child));
  }
  template <typename Condition> bool eventually(Condition IsMet) {
    TimePoint Deadline = monotonicNow() + MaxWait;
    while (!IsMet() && monotonicNow() < Deadline)
      std::this_thread::sleep_for(Millis(20));
    return IsMet();
  }
  http::CallResult call(int Entry, int Listener, const std::string &Method, const std::string &Path, const std::string &Body = "") {
    return callWith(Client, Entry, Listener, Method, Path, Body);
  }
  static http::CallResult callWith(http::Client &Caller, int Entry, int Listener, const std::string &Method, const std::string &Path, const std::string &Body) {
    http::Call Request;
    Request.Method = Method;
    Request.Url = fmt::format("http://127.0.0.1:{}{}", port(Entry, Listener), Path);
    Request.Headers = {{"Host", "jobs.example"}};
    Request.Body = Body;
    Request.FreshConnection = true;
    return Caller.perform(Request);
  }
  int get(int Entry, int Listener, const std::string &Path) {
    auto Answer = call(Entry, Listener, "GET", Path);
    return Answer ? Answer->Status : 0;
  }
  int submit(int Entry, int Number, int Tasks) { return submitWith(Client, Entry, Number, Tasks); }
  static int submitWith(http::Client &Caller, int Entry, int Number, int Tasks) {
    auto Answer = callWith(Caller, Entry, 0, "POST", "/q/" + jobId(Number), jobBody(Tasks));
    return Answer ? Answer->Status : 0;
  }
  http::CallResult askCount(int Entry, const std::string &Path, const std::string &Key) {
    http::Call Request;
    Request.Url = fmt::format("http://127.0.0.1:{}{}", port(Entry, 0), Path);
    Request.Headers = {{"Host", "jobs.example"}};
    if (!Key.empty())
      Request.Headers.emplace_back("Authorization", "Bearer " + Key);
    Request.FreshConnection = true;
    return Client.perform(Request);
  }
  /// The status of the answer to how many jobs wait.
  int countWith(int Entry, const std::string &Path, const std::string &Key) {
    auto Answer = askCount(Entry, Path, Key);
    return Answer ? Answer->Status : 0;
  }
  /// Why that question is refused with 503; empty if it isn't.
  std::string countRefusal(int Entry, const std::string &Path, const std::string &Key) {
    auto Answer = askCount(Entry, Path, Key);
    if (!Answer || Answer->Status != 503)
      return {};
    return json::parse(Answer->Body).value("error", std::string());
  }
  std::string state(int Entry, int Number) {
    auto Answer = call(Entry, 0, "GET", "/q/" + jobId(Number));
    if (!Answer || Answer->Status != 200)
      return "none";
    return json::parse(Answer->Body).value("state", "none");
  }
};
// clang-format on

} // namespace daisylanding::celltest

#endif
