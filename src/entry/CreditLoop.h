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

/// Replaces the row at \p Version by \p NewTable and returns the row that is
/// stored afterwards, which another writer may have written. If the answer to a
/// write is lost, the write may still arrive; the row is then rewritten to a
/// higher version, so that the late write can't take effect after the return.
/// Errors: those of the table; the write is then unresolved.
Result<table::Row> writeCreditTable(table::Table &Store, const std::string &Key,
                                    const policy::CreditTable &NewTable,
                                    uint64_t Version);

/// Reads the credit rows of the home zone for the request loop and writes the
/// tables that it plans. While a write of a service is unresolved, its row is
/// not read.
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
  /// What the credit shares are computed from: the version of the instance list
  /// and the holders. Since `ShareInputsSince`.
  std::pair<uint64_t, std::set<std::string>> ShareInputs;
  TimePoint ShareInputsSince{};
  std::map<std::string, CreditWrite> OpenWrites;       ///< By service.
  std::map<std::string, uint64_t> ResolvedWriteCounts; ///< By service.
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
