#ifndef DAISYLANDING_NODE_STATUSAPI_H
#define DAISYLANDING_NODE_STATUSAPI_H

#include "http/Server.h"
#include "node/EntryContext.h"

namespace daisylanding::node {

/// The operator API of an entry: status, configuration, jobs of the services
/// that it owns, its timeline and metrics. Answers in the JSON format that the
/// command line reads.
class StatusApi final : public http::Handler {
public:
  explicit StatusApi(EntryContext &Context) : Context(Context) {}

  void handle(http::Request Request, http::Responder Respond) override;

private:
  http::Response route(const http::Request &Request, TimePoint Now) const;
  std::string metrics(TimePoint Now) const;
  http::Response status(TimePoint Now) const;
  http::Response config() const;
  http::Response workspaces(TimePoint Now) const;
  http::Response jobs(std::string_view Id, TimePoint Now) const;
  http::Response timeline(const http::Request &Request) const;

  EntryContext &Context;
};

} // namespace daisylanding::node

#endif
