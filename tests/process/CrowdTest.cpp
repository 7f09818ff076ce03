#include "harness/Process.h"
#include "http/Client.h"
#include "http/Server.h"
#include "standin/CellPlatform.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <thread>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using nlohmann::json;

/// No deployment is shared here.
void stopSharedDeployment() {}

namespace {

constexpr uint16_t PlatformPort = 7'990;
constexpr uint16_t CallerPort = 7'991;
constexpr uint16_t ReadinessPort = 7'992;
constexpr const char *Folder = "crowd-run";
constexpr Millis MaxWait{20'000};
/// A crowd that sends no byte for this long is taken to be held back.
constexpr int NoProgressMs = 1'000;

constexpr size_t MaxBodyBytes = 262'144;
constexpr size_t MaxHeadBytes = 16'384;
constexpr size_t CrowdSize = 300;
constexpr size_t SmallPiece = 1'400;

/// What the process may grow by: less than half of what the crowds send.
constexpr size_t MaxGrowthKb = 32'768;
/// The test's settings allow 400 connections.
constexpr size_t MaxConnections = 400;
constexpr size_t MaxDescriptors = MaxConnections + 200;

std::string head(std::string_view Method, std::string_view Path,
                 std::string_view Fields = "") {
  return fmt::format("{} {} HTTP/1.1\r\nHost: jobs.example\r\n{}\r\n", Method,
                     Path, Fields);
}

std::string lengthField(size_t Bytes) {
  return fmt::format("Content-Length: {}\r\n", Bytes);
}

/// A head of legal size, nearly all of it fields of four bytes.
std::string manyFields(std::string_view Method, std::string_view Path,
                       std::string_view Fields = "") {
  std::string Text(Fields);
  constexpr std::string_view ShortField = "a:\r\n";
  size_t Bytes = head(Method, Path).size() + Text.size();
  for (; Bytes + ShortField.size() <= MaxHeadBytes; Bytes += ShortField.size())
    Text += ShortField;
  return head(Method, Path, Text);
}

std::string repeated(std::string_view Text, size_t Times) {
  std::string Result;
  for (size_t I = 0; I < Times; ++I)
    Result += Text;
  return Result;
}

/// All but the end of a body of the greatest legal size.
std::string unfinished(std::string_view Path) {
  return head("POST", Path, lengthField(MaxBodyBytes)) +
         std::string(MaxBodyBytes - 1, ' ');
}

std::string unfinishedChunks(std::string_view Path) {
  constexpr size_t ChunkBytes = 1'024;
  std::string Chunk =
      fmt::format("{:x}\r\n{}\r\n", ChunkBytes, std::string(ChunkBytes, ' '));
  return head("POST", Path, "Transfer-Encoding: chunked\r\n") +
         repeated(Chunk, MaxBodyBytes / ChunkBytes - 1);
}

int connectTo(uint16_t Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Limit{.tv_sec = 5};
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

/// Connections that send and never read. The server may close any of them.
class Crowd {
public:
  Crowd(uint16_t Port, size_t Size) {
    for (size_t I = 0; I < Size; ++I)
      Sockets.push_back(connectTo(Port));
  }
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;
  ~Crowd() {
    for (int Socket : Sockets)
      close(Socket);
  }

  /// Sends \p Text on each connection, a piece on each in turn, until all of it
  /// is sent, or the server has closed the connections or reads no more.
  void send(std::string_view Text, size_t PieceBytes = 65'536) {
    std::vector<size_t> Sent(Sockets.size(), 0);
    while (waitUntilWritable(Sent, Text.size())) {
      for (size_t I = 0; I < Sockets.size(); ++I) {
        if (Sent[I] < Text.size())
          sendPiece(I, Text.substr(Sent[I], PieceBytes), Sent[I]);
      }
    }
  }

private:
  void sendPiece(size_t I, std::string_view Piece, size_t &Sent) {
    ssize_t Count = ::send(Sockets[I], Piece.data(), Piece.size(),
                           MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count > 0)
      Sent += static_cast<size_t>(Count);
    else if (errno != EAGAIN)
      Sent = SIZE_MAX;
  }
  bool waitUntilWritable(const std::vector<size_t> &Sent, size_t Bytes) const {
    std::vector<pollfd> Waiting;
    for (size_t I = 0; I < Sockets.size(); ++I) {
      if (Sent[I] < Bytes && Sockets[I] >= 0)
        Waiting.push_back({.fd = Sockets[I], .events = POLLOUT});
    }
    return !Waiting.empty() &&
           poll(Waiting.data(), Waiting.size(), NoProgressMs) > 0;
  }

  std::vector<int> Sockets;
};

} // namespace

// clang-format off
TEST_GROUP(ACrowdNobodyControls) {
  standin::CellPlatform Platform;
  std::optional<http::Server> Server;
  std::optional<harness::Process> Entry;
  http::Client Client;
  size_t MemoryBefore = 0;

  void setup() override {
    std::filesystem::create_directories(Folder);
    http::ServerOptions Options;
    Options.Port = PlatformPort;
    Options.MaxBodyBytes = 4 << 20;
    Server.emplace(Options, Platform);
    CHECK_FALSE(Server->start());
    Platform.configure(1, true);
    Platform.addExecutor("i-0", fmt::format("127.0.0.1:{}", PlatformPort), 8'000);
    startEntry();
    CHECK(eventually([&] { return get(ReadinessPort, "/ready") == 200; }));
    CHECK(eventually([&] { return submit(1, 40) == 200; }));
    MemoryBefore = statusKb("VmRSS:");
  }
  void teardown() override {
    Entry.reset();
    Platform.shutDown();
    Server.reset();
  }
  void startEntry() {
    std::string File = fmt::format("{}/entry.toml", Folder);
    std::ofstream(File) << fmt::format(
        "[entry]\nname = \"e0\"\nzone = \"za\"\n[listen]\ncallers = \"127.0.0.1:{}\"\n"
        "readiness = \"127.0.0.1:{}\"\nrelay = \"127.0.0.1:7993\"\noperators = \"127.0.0.1:7994\"\n"
        "max_connections = {}\nmax_request_bytes = 4194304\nmax_connection_bytes = 2097152\n"
        "[services]\nstore = \"127.0.0.1:{}\"\nadvice = \"127.0.0.1:{}\"\n",
        CallerPort, ReadinessPort, MaxConnections, PlatformPort, PlatformPort);
    Entry.emplace(std::vector<std::string>{"./daisylanding", "serve", "--config", File},
                  fmt::format("{}/entry.log", Folder));
  }
  template <typename Condition> bool eventually(Condition IsMet) {
    TimePoint Deadline = monotonicNow() + MaxWait;
    while (!IsMet() && monotonicNow() < Deadline)
      std::this_thread::sleep_for(Millis(20));
    return IsMet();
  }
  http::CallResult call(uint16_t Port, const std::string &Method, const std::string &Path, const std::string &Body = "") {
    http::Call Request;
    Request.Method = Method;
    Request.Url = fmt::format("http://127.0.0.1:{}{}", Port, Path);
    Request.Headers = {{"Host", "jobs.example"}};
    Request.Body = Body;
    Request.FreshConnection = true;
    return Client.perform(Request);
  }
  int get(uint16_t Port, const std::string &Path) {
    auto Answer = call(Port, "GET", Path);
    return Answer ? Answer->Status : 0;
  }
  static std::string jobPath(int Number) { return fmt::format("/q/{:016x}", Number); }
  int submit(int Number, int Tasks) {
    json Body = {{"spec", "work"},
                 {"steps", {{{"count", Tasks}, {"cpu", 500}, {"mem-mb", 10}, {"est-runtime-ms", 250}}}}};
    auto Answer = call(CallerPort, "POST", jobPath(Number), Body.dump());
    return Answer ? Answer->Status : 0;
  }
  bool isDone(int Number) {
    auto Answer = call(CallerPort, "GET", jobPath(Number));
    return Answer && Answer->Status == 200 && json::parse(Answer->Body).value("state", "none") == "completed";
  }
  size_t statusKb(const std::string &Field) const {
    std::ifstream File(fmt::format("/proc/{}/status", Entry->pid()));
    std::string Word;
    while (File >> Word && Word != Field)
      continue;
    size_t Kb = 0;
    File >> Kb;
    return Kb;
  }
  size_t descriptors() const {
    std::filesystem::directory_iterator Files(fmt::format("/proc/{}/fd", Entry->pid()));
    return static_cast<size_t>(std::distance(begin(Files), end(Files)));
  }
  /// Called while the crowd's connections are open. The peak of memory is read
  /// last, when all that was sent has been received.
  void checkEntry() {
    CHECK(Entry->running());
    size_t Descriptors = descriptors();
    CHECK(eventually([&] { return get(ReadinessPort, "/ready") == 200; }));
    CHECK(eventually([&] { return submit(2, 1) == 200; }));
    CHECK(eventually([&] { return isDone(2); }));
    CHECK(eventually([&] { return isDone(1); }));
    CHECK(Entry->running());
    Descriptors = std::max(Descriptors, descriptors());
    size_t Peak = statusKb("VmHWM:");
    UT_PRINT(fmt::format("memory +{} kB, descriptors {}", Peak - MemoryBefore, Descriptors).c_str());
    CHECK(Descriptors < MaxDescriptors);
    CHECK(Peak < MemoryBefore + MaxGrowthKb);
  }
  void play(uint16_t Port, std::string_view Text, size_t PieceBytes = 65'536, size_t Size = CrowdSize) {
    Crowd Senders(Port, Size);
    Senders.send(Text, PieceBytes);
    Platform.setFaults({});
    checkEntry();
  }
};

TEST_GROUP_BASE(OnASlowStore, TEST_GROUP_CppUTestGroupACrowdNobodyControls) {
  /// Queries stay open while the crowd sends. What is asked afterwards doesn't
  /// wait for the store: three reads in a row may take longer than an answer.
  void setup() override {
    TEST_GROUP_CppUTestGroupACrowdNobodyControls::setup();
    Platform.setFaults({.ReadTime = Millis(900)});
  }
};
// clang-format on

TEST(ACrowdNobodyControls, StopsShortOfTheEndOfItsBodies) {
  play(CallerPort, unfinished(jobPath(9)));
}

TEST(ACrowdNobodyControls, SendsSmallPiecesAndStopsShort) {
  play(CallerPort, unfinished(jobPath(9)), SmallPiece);
}

TEST(ACrowdNobodyControls, SendsChunksAndStopsShort) {
  play(CallerPort, unfinishedChunks(jobPath(9)));
}

TEST(ACrowdNobodyControls, SendsChunksOfOneByteAndStopsShort) {
  constexpr size_t Chunks = 50'000;
  play(CallerPort, head("POST", jobPath(9), "Transfer-Encoding: chunked\r\n") +
                       repeated("1\r\n \r\n", Chunks));
}

TEST(ACrowdNobodyControls, SendsFieldsAfterItsChunksWithoutEnd) {
  constexpr size_t Fields = 40'000;
  play(CallerPort, head("POST", jobPath(9), "Transfer-Encoding: chunked\r\n") +
                       "0\r\n" + repeated("a:b\r\n", Fields));
}

TEST(ACrowdNobodyControls, StopsShortWhereThereIsNoQueue) {
  play(CallerPort, unfinished("/none"));
}

TEST(ACrowdNobodyControls, StopsShortAtTheReadinessPath) {
  play(ReadinessPort, unfinished("/ready"));
}

TEST(ACrowdNobodyControls, HoldsReadinessConnectionsOpen) {
  play(ReadinessPort, "GET /ready HTTP/1.1\r\nHost: ");
}

TEST(ACrowdNobodyControls, SendsWholeBodiesOfLegalSizeAtOnce) {
  play(CallerPort, head("POST", jobPath(9), lengthField(MaxBodyBytes)) +
                       std::string(MaxBodyBytes, ' '));
}

TEST(ACrowdNobodyControls, SendsBodiesFarOverTheLimit) {
  constexpr size_t FarOver = 64 * MaxBodyBytes;
  play(CallerPort, head("POST", jobPath(9), lengthField(FarOver)) +
                       std::string(FarOver / 16, ' '));
}

TEST(ACrowdNobodyControls, SendsBodiesFarOverTheLimitToReadiness) {
  constexpr size_t FarOver = 64 * MaxBodyBytes;
  play(ReadinessPort, head("POST", "/ready", lengthField(FarOver)) +
                          std::string(FarOver / 16, ' '));
}

TEST(ACrowdNobodyControls, SendsVeryManyShortFieldsAndStopsShort) {
  play(CallerPort, manyFields("POST", jobPath(9), lengthField(MaxBodyBytes)));
}

TEST(ACrowdNobodyControls, StopsWithinItsHeads) {
  std::string Text = manyFields("POST", jobPath(9));
  play(CallerPort, std::string_view(Text).substr(0, Text.size() - 2),
       SmallPiece);
}

TEST(ACrowdNobodyControls, SendsManyRequestsAheadAndReadsNoAnswer) {
  constexpr size_t Requests = 5'000;
  play(CallerPort, repeated(head("GET", "/q/"), Requests), 65'536, 50);
}

TEST(ACrowdNobodyControls, SendsManyRequestsAheadToReadiness) {
  constexpr size_t Requests = 5'000;
  play(ReadinessPort, repeated(head("GET", "/ready"), Requests), 65'536, 50);
}

TEST(OnASlowStore, ManyShortFieldsInManyRequestsAhead) {
  constexpr size_t Requests = 16;
  play(CallerPort, repeated(manyFields("GET", jobPath(9)), Requests), 65'536,
       50);
}

TEST(OnASlowStore, WholeBodiesInManyRequestsAhead) {
  constexpr size_t Requests = 16;
  std::string One = head("GET", jobPath(9), lengthField(MaxBodyBytes)) +
                    std::string(MaxBodyBytes, ' ');
  play(CallerPort, repeated(One, Requests), 65'536, 50);
}

/// Guards against a place that each connection costs for good which is reset
/// before it is accepted.
TEST(ACrowdNobodyControls, ResetsItsConnectionsAtOnce) {
  constexpr size_t Resets = 12'000;
  constexpr linger ResetAtClose{.l_onoff = 1, .l_linger = 0};
  for (size_t I = 0; I < Resets; ++I) {
    int Socket = connectTo(CallerPort);
    CHECK(Socket >= 0);
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &ResetAtClose,
               sizeof(ResetAtClose));
    close(Socket);
  }
  checkEntry();
}
