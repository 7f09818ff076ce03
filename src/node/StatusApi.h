#ifndef DAISYLANDING_NODE_STATUSAPI_H
#define DAISYLANDING_NODE_STATUSAPI_H

#include "http/Server.h"
#include "node/EntryContext.h"

namespace daisylanding::node {

/// The operators' address of a cell's process: status, configuration, jobs of
/// the services owned here, this entry's time line, metrics. Documents as the
/// command line reads them.
class StatusApi final : public http::Handler {
public:
  explicit StatusApi(EntryContext &Context) : Context(Context) {}

  void handle(http::Request Request, http::Responder Respond) override;

private:
  http::Response route(const http::Request &Request) const;
  http::Response status() const;
  http::Response config() const;
  http::Response jobs(std::string_view Id) const;
  http::Response timeline(const http::Request &Request) const;

  EntryContext &Context;
};

} // namespace daisylanding::node

#endif
