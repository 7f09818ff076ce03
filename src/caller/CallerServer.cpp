#include "caller/CallerServer.h"

#include "caller/Responses.h"

#include <utility>

namespace daisylanding::caller {

namespace {

/// Bodies are read up to this multiple of the limit, so that the caller of a
/// larger one receives a too-large response.
constexpr size_t BodyReadFactor = 2;

http::ServerOptions serverOptions(const config::Settings &Options) {
  http::ServerOptions HttpOptions;
  HttpOptions.Address = Options.CallerAddress.Host;
  HttpOptions.Port = Options.CallerAddress.Port;
  HttpOptions.MaxConnections = Options.MaxConnections;
  HttpOptions.MaxBodyBytes = Options.MaxBodyBytes * BodyReadFactor;
  return HttpOptions;
}

} // namespace

CallerServer::CallerServer(entry::EntryContext &EntryContext, RequestSink Sink)
    : EntryContext(EntryContext), Sink(std::move(Sink)),
      HttpServer(serverOptions(EntryContext.Options), *this) {}

http::Response CallerServer::health() const {
  bool Ready =
      !EntryContext.Draining.load() && EntryContext.Views.current()->Config;
  return {.Status = Ready ? http::StatusOk : http::StatusUnavailable,
          .Body = Ready ? "ready\n" : "not ready\n"};
}

void CallerServer::handle(http::Request Incoming, http::Responder Respond) {
  if (http::targetPath(Incoming.Target) == "/healthz") {
    Respond(health());
    return;
  }
  CallerLimits Limits{.MaxBodyBytes = EntryContext.Options.MaxBodyBytes,
                      .MaxHeaderBytes = EntryContext.Options.MaxHeaderBytes};
  http::Response ErrorResponse;
  auto Parsed = parseCallerRequest(std::move(Incoming), Limits, ErrorResponse);
  if (!Parsed) {
    Respond(std::move(ErrorResponse));
    return;
  }
  bool HasKey = !Parsed->IdempotencyKey.empty();
  entry::IncomingRequest Submitted{.Request = std::move(*Parsed),
                                   .Respond = Respond,
                                   .Arrived = monotonicNow()};
  if (!Sink(std::move(Submitted)))
    Respond(makeNotRunResponse(ProblemCode::Overloaded, 1,
                               HasKey ? EarlierTries::NotChecked
                                      : EarlierTries::NotApplicable));
}

} // namespace daisylanding::caller
