#ifndef DAISYLANDING_REVIEW_STANDIN3_RIG_H
#define DAISYLANDING_REVIEW_STANDIN3_RIG_H

#include "harness/Process.h"
#include "http/Client.h"
#include "http/Server.h"
#include "review/standin-3/ExecutorFarm.h"
#include "standin/CellPlatform.h"

#include <cstdint>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace daisylanding::review {

/// A port on which nothing listens, and that no outgoing connection gets.
uint16_t freePort();

/// The lines of a case's record.txt, each with the time since the start.
class RecordFile {
public:
  explicit RecordFile(const std::string &Path);
  void write(const std::string &Line);

private:
  std::mutex Mutex;
  std::ofstream Out;
  TimePoint StartedAt = monotonicNow();
};

/// A small deployment: the project's store stand-in with service `s` and the
/// queue `/q/`, executors, and entries as processes of their own.
class Rig {
public:
  /// \p Folder is for settings and logs. \p Program is the entry's.
  Rig(RecordFile &Record, std::string Folder, std::string Program,
      int ExecutorCount, int EntryCount);
  ~Rig();

  /// Starts all and waits until the entries are ready. False if they aren't.
  bool start();
  ExecutorFarm &executors() { return Farm; }

  /// The status of an answer, 0 if there was none; \p Body gets its body.
  int call(const std::string &Method, const std::string &Path,
           const std::string &Body = "", std::string *Answer = nullptr);
  std::string stateOf(const std::string &JobId);

private:
  struct Entry {
    uint16_t Callers = 0;
    uint16_t Readiness = 0;
  };

  void startEntry(int Number);
  bool isReady(const Entry &Asked);

  RecordFile &Record;
  std::string Folder;
  std::string Program;
  int ExecutorCount;
  int EntryCount;
  uint16_t StorePort = 0;
  standin::CellPlatform Store;
  ExecutorFarm Farm;
  std::optional<http::Server> StoreServer;
  std::optional<http::Server> FarmServer;
  std::vector<Entry> Entries;
  std::vector<harness::Process> Processes;
  http::Client Client;
};

} // namespace daisylanding::review

#endif
