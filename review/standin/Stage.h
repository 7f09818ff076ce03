#ifndef DAISYLANDING_REVIEW_STAGE_H
#define DAISYLANDING_REVIEW_STAGE_H

#include "Fleet.h"
#include "Store.h"
#include "harness/Process.h"
#include "http/Client.h"

#include <memory>
#include <string>
#include <vector>

namespace daisylanding::review {

/// What a play has shown; the exit code of its script.
enum class Verdict : uint8_t { Held = 0, Broken = 1, CouldNotRun = 2 };

/// A queue of the configuration.
struct Route {
  std::string Name;
  std::string PathPrefix;
  std::string Service;
  uint32_t MaxAttempts = 3;
};

struct ExecutorGroup {
  std::string Service;
  uint32_t Count = 3;
  uint32_t MilliCores = 16'000;
  uint32_t KindBCount = 0; ///< The first ones have the label "b", others "a".
};

/// The status and the body of an answer; status 0 if there was none.
struct Answer {
  uint16_t Status = 0;
  std::string Body;
};

/// A small deployment: the platform's store and executors as stand-ins, entries
/// as processes of their own, and a client. All on the loopback interface.
class Stage {
public:
  /// \p Folder takes the settings and logs of the entries.
  Stage(std::string Folder, std::string Program, Record &Log);
  ~Stage();

  /// Starts everything; returns false if an entry doesn't get ready.
  bool start(const std::vector<Route> &Routes,
             const std::vector<ExecutorGroup> &Groups, uint32_t EntryCount);
  /// The operator stores a configuration.
  void configure(const std::vector<Route> &Routes);

  /// Sends a request to an entry as a client does.
  Answer send(uint32_t Entry, const std::string &Method,
              const std::string &Path, const std::string &Body = "",
              Millis Deadline = Millis(3'000));
  /// The state that an entry shows; empty without an answer that shows one.
  std::string stateOf(uint32_t Entry, const std::string &Path);
  /// Asks until that state is shown; returns the last one.
  std::string awaitState(uint32_t Entry, const std::string &Path,
                         const std::string &State, Millis Timeout);
  void pause(Millis Duration, const char *Why);

  Fleet &executors() { return *Servers; }
  Store &store() { return Rows; }
  Record &log() { return Log; }
  harness::Process &entry(uint32_t Index) { return Entries[Index]; }

private:
  bool isReady(uint32_t Entry);
  void startEntry(uint32_t Index);

  std::string Folder;
  std::string Program;
  Record &Log;
  Store Rows;
  std::unique_ptr<http::Server> StoreServer;
  std::unique_ptr<Fleet> Servers;
  uint16_t StorePort = 0;
  uint64_t ConfigVersion = 0;
  std::vector<std::string> Services;
  std::vector<uint16_t> EntryPorts; ///< Four for each entry.
  std::vector<harness::Process> Entries;
  http::Client Caller;
};

/// A port that nobody listens on.
uint16_t freePort();

} // namespace daisylanding::review

#endif
