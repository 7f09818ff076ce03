#ifndef DAISYLANDING_TESTS_STANDIN_MEMORYTABLE_H
#define DAISYLANDING_TESTS_STANDIN_MEMORYTABLE_H

#include "table/Table.h"

#include <map>

namespace daisylanding::standin {

/// Faults that apply to the following calls.
struct TableFaults {
  bool Unreachable = false;     ///< Every call fails and has no effect.
  uint32_t ResponsesToLose = 0; ///< Commits applied that fail with AnswerLost.
};

/// An in-memory fake of the platform's table and object store. Unit tests use
/// it directly, PlatformService serves it over HTTP.
class MemoryTable final : public table::Table, public table::ObjectStore {
public:
  Result<table::Row> read(std::string_view Key) override;
  Result<std::vector<table::Row>> scan(std::string_view Prefix) override;
  Result<table::CommitResult>
  commit(std::span<const table::Mutation> Mutations) override;
  std::error_code put(std::string_view Key, std::string_view Value) override;
  Result<std::string> fetch(std::string_view Key) override;

  TableFaults Faults;
  uint64_t CommitCount = 0;
  uint64_t ReadCount = 0;

private:
  std::map<std::string, table::Row, std::less<>> Rows;
  std::map<std::string, std::string, std::less<>> Objects;
  uint64_t LastVersion = 0;
};

} // namespace daisylanding::standin

#endif
