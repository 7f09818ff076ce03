#ifndef DAISYLANDING_CELL_KNOWNINCARNATIONS_H
#define DAISYLANDING_CELL_KNOWNINCARNATIONS_H

#include "common/Error.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Which incarnations of executors have answered to a token of some owner of
/// the service, as the store tells. Such an incarnation carries out no more of
/// what was meant for those before it. A successor can't tell that from the
/// executor's clock, which begins at any reading.
namespace daisylanding::cell {

/// Its rows share the service's partition. Each holds the executors whose ids
/// have one hash, so that a restart rewrites few of them.
constexpr const char *IncarnationTable = "executor_incarnations";
constexpr uint32_t IncarnationRowCount = 64;

/// The start of an incarnation in Unix ms, by the id of its executor.
using BornById = std::map<std::string, int64_t, std::less<>>;

/// The key of the row that holds the executor; two digits.
std::string incarnationRowKey(std::string_view ExecutorId);

std::string encodeIncarnations(const BornById &Entries);
/// Errors: Malformed.
Result<BornById> decodeIncarnations(std::string_view Text);

/// One incarnation of an executor.
struct Incarnation {
  std::string_view Id;
  int64_t Born = 0; ///< Unix ms.
};

/// A row that a commit stores.
struct IncarnationRow {
  std::string Key;
  BornById Entries;
  uint64_t Revision = 0; ///< Of the changes that it tells of.
};

/// The rows as stored, and those that are to be rewritten.
class KnownIncarnations {
public:
  /// Adds a row that an earlier owner has stored.
  void restore(std::string_view Key, BornById Entries);
  /// Whether this owner or an earlier one has stored the incarnation.
  bool isStored(const Incarnation &Given) const;
  /// The incarnation has answered: its row is due unless it is stored.
  void note(const Incarnation &Given);
  bool isDue() const { return !DueRows.empty(); }
  /// Rows to store now, at most \p Limit, with those of \p Answered that belong
  /// there. These are all that are in use: others leave the rows.
  std::vector<IncarnationRow> dueRows(std::span<const Incarnation> Answered,
                                      size_t Limit) const;
  void noteStored(IncarnationRow Row);

private:
  std::map<std::string, BornById, std::less<>> StoredRows;
  /// By key: the newest change.
  std::map<std::string, uint64_t, std::less<>> DueRows;
  uint64_t LastRevision = 0;
};

} // namespace daisylanding::cell

#endif
