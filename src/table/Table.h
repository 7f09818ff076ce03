#ifndef DAISYLANDING_TABLE_TABLE_H
#define DAISYLANDING_TABLE_TABLE_H

#include "common/Error.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::table {

/// The version of a row that does not exist.
constexpr uint64_t AbsentVersion = 0;

struct Row {
  std::string Key;
  std::string Value;
  uint64_t Version = AbsentVersion;
};

enum class Operation : uint8_t {
  Check, ///< Only compares the version.
  Put,   ///< Compares the version, then writes.
  Delete ///< Compares the version, then removes.
};

/// One operation of a transaction, which fails unless the row is at
/// `ExpectedVersion`.
struct Mutation {
  Operation Kind = Operation::Put;
  std::string Key;
  std::string Value;
  uint64_t ExpectedVersion = AbsentVersion;
};

/// The result of a transaction that the table has executed or refused.
struct CommitResult {
  bool Committed = false;
  /// When committed: the version of each mutation's row, in order.
  std::vector<uint64_t> Versions;
  /// When refused: the current rows whose versions did not match.
  std::vector<Row> Conflicts;
};

/// The platform's transactional table. Calls block. Errors: Unreachable
/// (certainly not carried out), AnswerLost and Timeout (may have been carried
/// out), Malformed, BudgetExhausted (this process's share of writes is used
/// up).
class Table {
public:
  virtual ~Table() = default;
  /// The row, with AbsentVersion if it does not exist.
  virtual Result<Row> read(std::string_view Key) = 0;
  /// All rows whose key starts with \p Prefix, in key order.
  virtual Result<std::vector<Row>> scan(std::string_view Prefix) = 0;
  /// Applies all mutations or none.
  virtual Result<CommitResult> commit(std::span<const Mutation> Mutations) = 0;
};

/// Stores large values, written and read as a whole. Errors as for Table;
/// NotFound from fetch().
class ObjectStore {
public:
  virtual ~ObjectStore() = default;
  virtual std::error_code put(std::string_view Key, std::string_view Value) = 0;
  virtual Result<std::string> fetch(std::string_view Key) = 0;
};

} // namespace daisylanding::table

#endif
