#ifndef DAISYLANDING_NODE_SERVICEPLACES_H
#define DAISYLANDING_NODE_SERVICEPLACES_H

#include "cell/OtherServices.h"
#include "node/EntryContext.h"

#include <string>

namespace daisylanding::node {

/// What the owner of a service knows of the others, from their owner rows last
/// read by this entry. For offers of entries with an older configuration.
class ServicePlaces final : public cell::OtherServices {
public:
  /// \p Context outlives this.
  ServicePlaces(const EntryContext &Context, std::string OwnService)
      : Context(Context), OwnService(std::move(OwnService)) {}

  bool mayHold(const cell::Queue &JobQueue,
               const cell::CellConfig &Config) override;

private:
  const EntryContext &Context;
  std::string OwnService;
};

} // namespace daisylanding::node

#endif
