#ifndef DAISYLANDING_ENTRY_CREDITLOOP_H
#define DAISYLANDING_ENTRY_CREDITLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/EntryContext.h"
#include "entry/RequestMessages.h"

#include <set>

namespace daisylanding::entry {

std::string creditTableToText(const policy::CreditTable &Table);
Result<policy::CreditTable> creditTableFromText(std::string_view Text);

/// Writes \p Next over the row at \p Version and returns the row that stands
/// afterwards, ours or another's. A write whose answer was lost may still be
/// under way; the row is then moved past its version, so that it can't take
/// effect after the return. Errors: the table's; the write stays open.
Result<table::Row> writeCreditTable(table::Table &Store, const std::string &Key,
                                    const policy::CreditTable &NewTable,
                                    uint64_t Version);

/// Reads the escrow rows of the home zone for the front loop, and writes its
/// plans. The front hears of a row only when no write of its own is open.
class CreditLoop {
public:
  CreditLoop(EntryContext &Context, Ring<CreditRow> &Rows);

  void start() {
    Loop.start("credits", [this] { run(); });
  }
  void stop() {
    Wake.wake();
    Loop.join();
  }

  Ring<CreditWrite> Writes;

private:
  void run();
  void readRows(table::Table &Store);
  Millis pollInterval(TimePoint Now);
  void resolveWrites(table::Table &Store);
  void readRow(table::Table &Store, const std::string &Service);
  void publishRow(const std::string &Service, const table::Row &Row);
  std::string rowKey(const std::string &Service) const;

  EntryContext &Context;
  Ring<CreditRow> &Rows;
  Waker Wake;
  /// What shares depend on, and since when it is as it is.
  std::pair<uint64_t, std::set<std::string>> ShareInputs;
  TimePoint ShareInputsSince{};
  std::map<std::string, CreditWrite>
      OpenWrites; ///< Not settled yet, by service.
  std::map<std::string, uint64_t>
      ResolvedWriteCounts; ///< Writes settled, by service.
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
