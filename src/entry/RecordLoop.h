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
  Reserve,  ///< Before a request that must not be repeated is sent.
  Complete, ///< Stores its answer.
  Release,  ///< It surely did not run: the key is free again.
  Lookup,   ///< Only asks whether the key was used.
};

/// The record of one request that must not be repeated.
struct RequestRecord {
  std::string Token; ///< Tells this try from others with the same key.
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
  Done,       ///< Reserved, or for Lookup: no record exists.
  Exists,     ///< An earlier try holds the key; `Earlier` is its record.
  Unavailable ///< The table could not be asked, or did not answer.
};

struct RecordReply {
  RecordOperation Operation = RecordOperation::Lookup;
  uint64_t Id = 0;
  RecordStatus Status = RecordStatus::Unavailable;
  RequestRecord EarlierRecord;
};

/// Writes request records in groups: while one transaction is under way the
/// next group gathers. A transaction whose answer is lost is resolved by
/// reading its rows back.
class RecordWriter {
public:
  explicit RecordWriter(table::Table &Store) : Store(Store) {}

  /// Carries out \p Calls and reports each once. Completions and releases
  /// that can't be written yet are kept for a later call.
  std::vector<RecordReply> write(std::vector<RecordCall> Calls);

  /// How many completions and releases wait for the table.
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
  /// Row versions of reservations that await their completion.
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
