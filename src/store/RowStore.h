#ifndef DAISYLANDING_STORE_ROWSTORE_H
#define DAISYLANDING_STORE_ROWSTORE_H

#include "common/Error.h"
#include "common/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// The transactional table with a change feed that the product relies on for
/// everything that must be agreed or must last.
namespace daisylanding::store {

/// The version of a row that does not exist.
constexpr uint64_t AbsentVersion = 0;

struct Row {
  std::string Table;
  std::string Partition;
  std::string Key;
  std::string Value;
  uint64_t Version = AbsentVersion;
  bool Deleted = false; ///< Only in changes: the row was removed.
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

/// All writes and removals take effect, or none. One partition.
struct Transaction {
  std::string Partition;
  std::vector<Precondition> Preconditions;
  std::vector<RowWrite> Writes;
  std::vector<RowRemoval> Removals;

  size_t entryCount() const {
    return Preconditions.size() + Writes.size() + Removals.size();
  }
};

/// The most preconditions, writes and removals in one transaction.
constexpr size_t MaxTransactionEntries = 100;

enum class TransactionOutcome : uint8_t {
  Committed,
  Conflict,   ///< A precondition did not hold; nothing was done.
  NotApplied, ///< The store refused, or the call was never sent.
  Unknown     ///< It may have been carried out, or may be later.
};

struct TransactionResult {
  TransactionOutcome Outcome = TransactionOutcome::Unknown;
  uint64_t Version = AbsentVersion; ///< Of the rows written.
  int64_t StoreClockMs = 0;         ///< The store's steady clock.
  std::vector<Row>
      CurrentRows; ///< On a conflict: the rows of the preconditions.
};

struct RangeRead {
  std::string Table;
  std::string Partition;
  std::string From;   ///< The first key; empty for the first of all.
  std::string To;     ///< Excluded; empty for no end.
  uint32_t Limit = 0; ///< 0 for as many as the store gives at once.
};

struct RowPage {
  std::vector<Row> Rows; ///< In ascending key order.
  bool HasMore = false;
  uint64_t Version = AbsentVersion; ///< The store's newest version.
  int64_t StoreClockMs = 0;
};

/// Where the next page begins; none behind the last.
inline std::optional<std::string> nextPageStart(const RowPage &Page) {
  if (!Page.HasMore || Page.Rows.empty())
    return std::nullopt;
  return Page.Rows.back().Key + '\0';
}

struct ChangeQuery {
  std::string Table;
  uint64_t After = 0;
  Millis MaxWait{0}; ///< How long the store waits for a first change.
};

struct ChangePage {
  std::vector<Row> Rows;            ///< In the order of their changes.
  uint64_t Version = AbsentVersion; ///< To go on from.
  int64_t StoreClockMs = 0;
};

using TransactionDone = std::function<void(TransactionResult)>;
using ReadDone = std::function<void(Result<RowPage>)>;
using ChangesDone = std::function<void(Result<ChangePage>)>;

/// Calls do not block; their completions run on the caller's loop. Errors of
/// reads: Unreachable, AnswerLost, Timeout, NotReady (refused for now),
/// HistoryGone (changes only), Malformed.
class RowStore {
public:
  virtual ~RowStore() = default;
  virtual void commit(const Transaction &Request, TransactionDone Done) = 0;
  virtual void read(const RangeRead &Request, ReadDone Done) = 0;
  virtual void readChanges(const ChangeQuery &Query, ChangesDone Done) = 0;
};

} // namespace daisylanding::store

#endif
