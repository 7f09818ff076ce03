#ifndef DAISYLANDING_NODE_COUNTEDSTORE_H
#define DAISYLANDING_NODE_COUNTEDSTORE_H

#include "common/Metrics.h"
#include "store/RowStore.h"

#include <memory>
#include <string>

namespace daisylanding::node {

/// Counts the calls of one loop to the store, by their kind and table, in the
/// metric `store_calls`: what a deployment pays for, by purpose.
class CountedStore final : public store::RowStore {
public:
  CountedStore(std::unique_ptr<store::RowStore> Store, Metrics &Counters,
               std::string Loop)
      : Store(std::move(Store)), Counters(Counters), Loop(std::move(Loop)) {}

  void commit(const store::Transaction &Request,
              store::TransactionDone Done) override;
  void read(const store::RangeRead &Request, store::ReadDone Done) override;
  void readChanges(const store::ChangeQuery &Query,
                   store::ChangesDone Done) override;

private:
  void count(std::string_view Kind, std::string_view Table);

  std::unique_ptr<store::RowStore> Store;
  Metrics &Counters;
  std::string Loop;
};

} // namespace daisylanding::node

#endif
