#include "caller/CallerServer.h"

#include "caller/Answers.h"

#include <utility>

namespace daisylanding::caller {

namespace {

/// Bodies beyond the limit are read up to this multiple, so that the caller
/// gets an answer that says so.
constexpr size_t ReadBeyondLimit = 2;

http::ServerOptions serverOptions(const config::Settings &Options) {
  http::ServerOptions Out;
  Out.Address = Options.CallerAddress.Host;
  Out.Port = Options.CallerAddress.Port;
  Out.MaxConnections = Options.MaxConnections;
  Out.MaxBodyBytes = Options.MaxBodyBytes * ReadBeyondLimit;
  return Out;
}

} // namespace

CallerServer::CallerServer(entry::EntryContext &Shared, Admit Front)
    : Shared(Shared), Front(std::move(Front)),
      Listener(serverOptions(Shared.Options), *this) {}

http::Response CallerServer::health() const {
  bool Ready = !Shared.Draining.load() && Shared.Views.current()->Config;
  return {.Status = Ready ? http::StatusOk : http::StatusUnavailable,
          .Body = Ready ? "ready\n" : "not ready\n"};
}

void CallerServer::handle(http::Request Incoming, http::Responder Respond) {
  if (http::pathOf(Incoming.Target) == "/healthz") {
    Respond(health());
    return;
  }
  CallerLimits Limits{.MaxBodyBytes = Shared.Options.MaxBodyBytes,
                      .MaxHeaderBytes = Shared.Options.MaxHeaderBytes};
  http::Response Refusal;
  auto Parsed = parseCallerRequest(std::move(Incoming), Limits, Refusal);
  if (!Parsed) {
    Respond(std::move(Refusal));
    return;
  }
  bool Keyed = !Parsed->IdempotencyKey.empty();
  entry::IncomingRequest In{.Request = std::move(*Parsed),
                            .Respond = Respond,
                            .Arrived = monotonicNow()};
  if (!Front(std::move(In)))
    Respond(
        notRun(ProblemCode::Overloaded, 1,
               Keyed ? EarlierTries::NotChecked : EarlierTries::NotApplicable));
}

} // namespace daisylanding::caller
