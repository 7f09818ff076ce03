#ifndef DAISYLANDING_ENTRY_RECORDLOOP_H
#define DAISYLANDING_ENTRY_RECORDLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/Context.h"
#include "policy/CommitPacer.h"

#include <deque>
#include <map>
#include <optional>

namespace daisylanding::entry {

enum class RecordKind : uint8_t {
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
  RecordKind Kind = RecordKind::Lookup;
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
  RecordKind Kind = RecordKind::Lookup;
  uint64_t Id = 0;
  RecordStatus Status = RecordStatus::Unavailable;
  RequestRecord Earlier;
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
  size_t backlog() const { return Unwritten.size(); }

private:
  struct Pending {
    RecordCall Call;
    uint64_t Version = 0; ///< Of the row, for Complete and Release.
    bool Settled = false;
  };

  bool locate(Pending &Each);
  void commitGroup(std::vector<Pending> &Group,
                   std::vector<RecordReply> &Replies);
  bool attempt(std::vector<Pending> &Group, std::vector<RecordReply> &Replies);
  void resolve(std::vector<Pending> &Group, std::vector<RecordReply> &Replies);
  void settle(Pending &Each, RecordStatus Status, std::string_view RowText,
              std::vector<RecordReply> &Replies);
  void remember(const std::string &Key, uint64_t Version);

  table::Table &Store;
  std::deque<RecordCall> Unwritten;
  /// Row versions of reservations that await their completion.
  std::map<std::string, uint64_t> Versions;
};

class RecordLoop {
public:
  RecordLoop(Context &Shared, std::function<void()> WakeFront);

  void start() {
    Loop.start("records", [this] { run(); });
  }
  void stop() { Loop.join(); }

  Ring<RecordCall> Calls;
  Ring<RecordReply> Replies;

private:
  void run();

  Context &Shared;
  Waker Wake;
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
