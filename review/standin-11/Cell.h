#ifndef DAISYLANDING_REVIEW_CELL_H
#define DAISYLANDING_REVIEW_CELL_H

#include "harness/Process.h"
#include "http/Client.h"
#include "http/Server.h"

#include <fmt/format.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

/// What the scripts share: entries of a small deployment as separate processes,
/// a record of what was seen, and clients.
namespace daisylanding::review {

/// Exit codes of a script.
enum class Verdict : int { Held = 0, Broken = 1, NotRun = 2 };

/// Whether the script plays its disruption; not with TROUBLE=0.
bool hasTrouble();

/// A loopback port that nobody listens on.
uint16_t freePort();

/// The file `record.txt` of a case, with the time since its start on each line.
class Record {
public:
  explicit Record(const std::string &Folder);
  void line(std::string_view Text);
  template <typename... Args>
  void add(fmt::format_string<Args...> Format, Args &&...Values) {
    line(fmt::format(Format, std::forward<Args>(Values)...));
  }
  Millis elapsed() const {
    return Millis(toMillis(monotonicNow() - StartedAt));
  }

private:
  std::mutex Mutex;
  std::ofstream File;
  TimePoint StartedAt = monotonicNow();
};

/// A folder under the system's one for temporary files; removed at the end.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
  const std::string &path() const { return Path; }

private:
  std::string Path;
};

struct EntryOptions {
  std::string Name;
  std::string Zone = "sohar-a";
  std::string StoreAddress;
  std::string AdviceAddress;
  size_t MemoryMb = 260;
};

/// A process of the deploy file's role, with the settings that its template
/// makes for a small deployment.
class Entry {
public:
  Entry(EntryOptions Options, const std::string &Folder);

  void start();
  harness::Process &process() { return Child; }
  const std::string &name() const { return Options.Name; }
  /// Of its resident memory; 0 if it doesn't run.
  size_t memoryKb() const;
  bool isReady();

  uint16_t CallerPort = 0;
  uint16_t ReadinessPort = 0;
  uint16_t RelayPort = 0;
  uint16_t OperatorPort = 0;

private:
  EntryOptions Options;
  std::string SettingsFile;
  std::string LogFile;
  harness::Process Child;
};

/// A call of a client; the status, or 0 without an answer.
struct Reply {
  int Status = 0;
  std::string Body;
};
Reply call(uint16_t Port, const std::string &Method, const std::string &Path,
           const std::string &Body = "", const std::string &Key = "");

std::string jobId(uint64_t Number);

void sleepFor(Millis Time);

template <typename Condition> bool eventually(Condition IsMet, Millis MaxWait) {
  TimePoint Deadline = monotonicNow() + MaxWait;
  while (!IsMet()) {
    if (monotonicNow() >= Deadline)
      return false;
    sleepFor(Millis(20));
  }
  return true;
}

} // namespace daisylanding::review

#endif
