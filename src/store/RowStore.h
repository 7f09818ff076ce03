#ifndef DAISYLANDING_STORE_ROWSTORE_H
#define DAISYLANDING_STORE_ROWSTORE_H

#include "common/Error.h"
#include "common/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Interface to the transactional table with a change feed that holds all state
/// that must be agreed on or must be durable.
namespace daisylanding::store {

/// The version of a row that does not exist.
constexpr uint64_t AbsentVersion = 0;

struct Row {
  std::string Table;
  std::string Partition;
  std::string Key;
  std::string Value;
  uint64_t Version = AbsentVersion;
  bool Deleted = false; ///< Set only in change pages: the row was removed.
};

/// A row that must be at `Version` for a transaction to take effect.
struct Precondition {
  std::string Table;
  std::string Key;
  uint64_t Version = AbsentVersion;
};

struct RowWrite {
  std::string Table;
  std::string Key;
  std::string Value;
};

struct RowRemoval {
  std::string Table;
  std::string Key;
};

/// Atomic: either all writes and removals take effect, or none. Limited to one
/// partition.
struct Transaction {
  /// Time after which an answer is no longer of use, as a rule.
  static constexpr Millis DefaultAnswerWait{2'500};

  std::string Partition;
  std::vector<Precondition> Preconditions;
  std::vector<RowWrite> Writes;
  std::vector<RowRemoval> Removals;
  /// How long the answer is waited for. A slow store takes seconds.
  Millis AnswerWait = DefaultAnswerWait;

  /// The number that MaxTransactionBytes limits.
  size_t byteCount() const {
    size_t Bytes = 0;
    for (const RowWrite &Write : Writes)
      Bytes += Write.Table.size() + Write.Key.size() + Write.Value.size();
    return Bytes;
  }
  /// The number that MaxTransactionEntries limits.
  size_t entryCount() const {
    return Preconditions.size() + Writes.size() + Removals.size();
  }
};

/// Limit on preconditions, writes and removals together in one transaction.
constexpr size_t MaxTransactionEntries = 100;
/// Limit on the bytes of a row's value.
constexpr size_t MaxRowBytes = 65'536;
/// Limit on the bytes that a transaction writes. The store takes a megabyte:
/// values grow by a third on their way, and all entries have names.
constexpr size_t MaxTransactionBytes = 700'000;

enum class TransactionOutcome : uint8_t {
  Committed,
  Conflict,   ///< A precondition failed; nothing was written.
  NotApplied, ///< The store refused for now, or the call was never sent.
  Rejected,   ///< The store takes no such transaction; nothing was written.
  Unknown     ///< No answer; it may have been or may yet be applied.
};

struct TransactionResult {
  TransactionOutcome Outcome = TransactionOutcome::Unknown;
  uint64_t Version = AbsentVersion; ///< Of the rows written.
  int64_t StoreClockMs = 0; ///< Steady clock of the store; 0 if unknown.
  /// On a conflict: the current rows of the preconditions.
  std::vector<Row> CurrentRows;
};

struct RangeRead {
  std::string Table;
  std::string Partition;
  std::string From;   ///< First key; empty for the start of the partition.
  std::string To;     ///< Exclusive; empty for the end of the partition.
  uint32_t Limit = 0; ///< Rows per page; 0 for the store's own page size.
};

struct RowPage {
  std::vector<Row> Rows; ///< In ascending key order.
  bool HasMore = false;
  uint64_t Version = AbsentVersion; ///< Newest version in the store.
  int64_t StoreClockMs = 0;
};

/// The first key of the next page; nullopt after the last page.
inline std::optional<std::string> nextPageStart(const RowPage &Page) {
  if (!Page.HasMore || Page.Rows.empty())
    return std::nullopt;
  return Page.Rows.back().Key + '\0';
}

struct ChangeQuery {
  std::string Table;
  uint64_t After = 0; ///< Only changes above this version.
  Millis MaxWait{0};  ///< The store waits up to this for a first change.
};

struct ChangePage {
  std::vector<Row> Rows;            ///< In the order of the changes.
  uint64_t Version = AbsentVersion; ///< To continue after.
  int64_t StoreClockMs = 0;
  /// When the page began to arrive. Its content is no older, but its transfer
  /// may take seconds.
  TimePoint AnsweredAt{};
};

using TransactionDone = std::function<void(TransactionResult)>;
using ReadDone = std::function<void(Result<RowPage>)>;
using ChangesDone = std::function<void(Result<ChangePage>)>;

/// Calls do not block; `Done` runs on the caller's loop. Errors of reads:
/// Unreachable, AnswerLost, Timeout, NotReady (temporarily refused),
/// HistoryGone (only readChanges), Malformed.
class RowStore {
public:
  virtual ~RowStore() = default;
  virtual void commit(const Transaction &Request, TransactionDone Done) = 0;
  virtual void read(const RangeRead &Request, ReadDone Done) = 0;
  virtual void readChanges(const ChangeQuery &Query, ChangesDone Done) = 0;
};

} // namespace daisylanding::store

#endif
