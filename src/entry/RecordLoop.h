#ifndef DAISYLANDING_ENTRY_RECORDLOOP_H
#define DAISYLANDING_ENTRY_RECORDLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/EntryContext.h"
#include "policy/CommitPacer.h"

#include <deque>
#include <map>
#include <optional>

namespace daisylanding::entry {

enum class RecordOperation : uint8_t {
  Reserve,  ///< Sent before a non-repeatable request.
  Complete, ///< Stores the answer.
  Release,  ///< The request did not run: frees the key.
  Lookup,   ///< Reads whether the key was used.
};

/// The stored record of a non-repeatable request.
struct RequestRecord {
  std::string Token; ///< Distinguishes tries with the same key.
  uint64_t BodyHash = 0;
  bool Answered = false;
  http::Response Answer;
};

std::string recordToText(const RequestRecord &Record);
Result<RequestRecord> recordFromText(std::string_view Text);

struct RecordCall {
  RecordOperation Operation = RecordOperation::Lookup;
  uint64_t Id = 0;
  std::string Key; ///< Of the table row.
  RequestRecord Record;
};

enum class RecordStatus : uint8_t {
  Done,       ///< Reserved; for Lookup: no record exists.
  Exists,     ///< An earlier try has used the key; see `EarlierRecord`.
  Unavailable ///< The table was unreachable or did not answer.
};

struct RecordReply {
  RecordOperation Operation = RecordOperation::Lookup;
  uint64_t Id = 0;
  RecordStatus Status = RecordStatus::Unavailable;
  RequestRecord EarlierRecord;
};

/// Writes request records in groups; calls that arrive during a transaction
/// form the next group. If the answer to a transaction is lost, its rows are
/// read back to learn the outcome.
class RecordWriter {
public:
  explicit RecordWriter(table::Table &Store) : Store(Store) {}

  /// Executes \p Calls and returns their replies. Completions and releases that
  /// can't be written yet get no reply; they are kept and retried by a later
  /// call.
  std::vector<RecordReply> write(std::vector<RecordCall> Calls);

  /// Number of completions and releases that wait to be written.
  size_t backlog() const { return Backlog.size(); }

private:
  struct PendingCall {
    RecordCall Call;
    uint64_t Version = 0; ///< Of the row, for Complete and Release.
    bool Resolved = false;
  };

  bool findRowVersion(PendingCall &Pending);
  void commitGroup(std::vector<PendingCall> &Group,
                   std::vector<RecordReply> &Replies);
  bool tryCommit(std::vector<PendingCall> &Group,
                 std::vector<RecordReply> &Replies);
  void resolveFromRows(std::vector<PendingCall> &Group,
                       std::vector<RecordReply> &Replies);
  void addReply(PendingCall &Pending, RecordStatus Status,
                std::string_view RowText, std::vector<RecordReply> &Replies);
  void cacheVersion(const std::string &Key, uint64_t Version);

  table::Table &Store;
  std::deque<RecordCall> Backlog;
  /// Versions of reserved rows, for the write that completes or releases them.
  std::map<std::string, uint64_t> ReservedVersions;
};

class RecordLoop {
public:
  RecordLoop(EntryContext &Context, std::function<void()> WakeRequestLoop);

  void start() {
    Loop.start("records", [this] { run(); });
  }
  void stop() { Loop.join(); }

  Ring<RecordCall> Calls;
  Ring<RecordReply> Replies;

private:
  void run();

  EntryContext &Context;
  Waker Wake;
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
