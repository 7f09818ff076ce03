#include "node/CountedStore.h"

#include <fmt/format.h>

namespace daisylanding::node {

void CountedStore::count(std::string_view Kind, std::string_view Table) {
  Counters.count(
      fmt::format("store_calls{{loop=\"{}\",kind=\"{}\",table=\"{}\"}}", Loop,
                  Kind, Table));
}

void CountedStore::commit(const store::Transaction &Request,
                          store::TransactionDone Done) {
  // The first row tells what a transaction is for.
  count("commit", Request.Writes.empty() ? "" : Request.Writes.front().Table);
  Store->commit(Request, std::move(Done));
}

void CountedStore::read(const store::RangeRead &Request, store::ReadDone Done) {
  count("read", Request.Table);
  Store->read(Request, std::move(Done));
}

void CountedStore::readChanges(const store::ChangeQuery &Query,
                               store::ChangesDone Done) {
  count("feed", Query.Table);
  Store->readChanges(Query, std::move(Done));
}

} // namespace daisylanding::node
