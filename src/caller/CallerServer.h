#ifndef DAISYLANDING_CALLER_CALLERSERVER_H
#define DAISYLANDING_CALLER_CALLERSERVER_H

#include "caller/CallerRequest.h"
#include "entry/EntryContext.h"
#include "entry/RequestMessages.h"
#include "http/Server.h"

#include <functional>

namespace daisylanding::caller {

/// Takes callers' requests and the balancer's health check.
class CallerServer final : public http::Handler {
public:
  using Admit = std::function<bool(entry::IncomingRequest)>;

  CallerServer(entry::EntryContext &Shared, Admit Front);

  std::error_code start() { return Listener.start(); }
  /// Waits for answers under way, at most \p Longest.
  void stop(Millis Longest) { Listener.stop(Longest); }

  void handle(http::Request Incoming, http::Responder Respond) override;

private:
  http::Response health() const;

  entry::EntryContext &Shared;
  Admit Front;
  http::Server Listener;
};

} // namespace daisylanding::caller

#endif
