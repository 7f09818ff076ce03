#include "http/Server.h"

#include "common/Log.h"
#include "http/LimitedSocket.h"

#include <restinio/all.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace daisylanding::http {

namespace {

/// The library's count of connections loses a place for each one that is reset
/// before it is accepted. It is used for trusted clients only, which wait to be
/// accepted; others are counted by ConnectionLimiter.
template <bool ClientsAreTrusted>
struct Traits : public restinio::default_single_thread_traits_t {
  // NOLINTBEGIN(readability-identifier-naming): the library's names.
  using stream_socket_t = LimitedSocket;
  static constexpr bool use_connection_count_limiter = ClientsAreTrusted;
  // NOLINTEND(readability-identifier-naming)
};

template <bool ClientsAreTrusted>
using RunningServer = std::unique_ptr<restinio::running_server_instance_t<
    restinio::http_server_t<Traits<ClientsAreTrusted>>>>;

/// Counts requests whose response has not been written yet.
class PendingResponses {
public:
  void add() { Count.fetch_add(1); }
  void remove() {
    if (Count.fetch_sub(1) == 1) {
      std::lock_guard<std::mutex> Lock(Mutex);
      Drained.notify_all();
    }
  }
  void waitUntilEmpty(Millis Timeout) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Drained.wait_for(Lock, Timeout, [this] { return Count.load() == 0; });
  }

private:
  std::atomic<int64_t> Count{0};
  std::mutex Mutex;
  std::condition_variable Drained;
};

Request convertRequest(const restinio::request_handle_t &Source) {
  Request Converted;
  Converted.Method = Source->header().method().c_str();
  Converted.Target = Source->header().request_target();
  for (const auto &Field : Source->header())
    Converted.Headers.emplace_back(Field.name(), Field.value());
  Converted.Body = Source->body();
  Converted.ConnectionId = Source->connection_id();
  return Converted;
}

restinio::http_status_line_t makeStatusLine(uint16_t Status) {
  return {restinio::http_status_code_t{Status},
          std::string(reasonPhrase(Status))};
}

} // namespace

struct Server::Impl {
  ServerOptions Options;
  Handler &RequestHandler;
  std::shared_ptr<PendingResponses> Pending =
      std::make_shared<PendingResponses>();
  ConnectionLimiter *Limiter = nullptr; ///< Owned by the server's I/O context.
  RunningServer<true> Trusting;         ///< At most one of these runs.
  RunningServer<false> Limiting;

  Impl(ServerOptions Options, Handler &RequestHandler)
      : Options(std::move(Options)), RequestHandler(RequestHandler) {}

  restinio::request_handling_status_t
  handleRequest(const restinio::request_handle_t &Source) {
    Pending->add();
    std::shared_ptr<RequestTicket> Ticket =
        Limiter->takeTicket(Source->remote_endpoint());
    auto OnWritten = [Responses = Pending, ActiveLimiter = Limiter, Ticket,
                      Peer = Source->remote_endpoint()](const auto &) {
      if (Ticket)
        Ticket->recordSent();
      ActiveLimiter->onResponseWritten(Peer);
      Responses->remove();
    };
    RequestHandler.handle(convertRequest(Source), [Source, Ticket,
                                                   OnWritten](Response Reply) {
      if (Ticket)
        Ticket->recordAnswer(Reply.Body.size());
      auto Builder = Source->create_response(makeStatusLine(Reply.Status));
      for (Header &Field : Reply.Headers)
        Builder.append_header(std::move(Field.first), std::move(Field.second));
      Builder.set_body(std::move(Reply.Body));
      Builder.done(OnWritten);
    });
    return restinio::request_accepted();
  }

  template <bool ClientsAreTrusted>
  restinio::server_settings_t<Traits<ClientsAreTrusted>>
  settings(size_t MaxOpenRequests) {
    return restinio::server_settings_t<Traits<ClientsAreTrusted>>{}
        .address(Options.Address)
        .port(Options.Port)
        .max_pipelined_requests(MaxOpenRequests)
        .read_next_http_message_timelimit(Options.ReadTimeout)
        .handle_request_timeout(Options.HandleTimeout)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(
                Options.MaxBodyBytes))
        .request_handler([this](auto Source) { return handleRequest(Source); });
  }

  void listen() {
    auto Context = std::make_shared<asio::io_context>();
    Limiter = &asio::use_service<ConnectionLimiter>(*Context);
    restinio::io_context_holder_t Holder(Context);
    if (!Options.Limits) {
      auto Settings = settings<true>(Options.MaxPipelinedRequests)
                          .max_parallel_connections(Options.MaxConnections);
      Trusting =
          restinio::run_async<Traits<true>>(Holder, std::move(Settings), 1U);
      return;
    }
    Limiter->enable(*Context, {.Budget = Options.Budget,
                               .MaxSocketHandle = Options.MaxSocketHandle,
                               .Server = Options.ThreadName,
                               .Counters = Options.Counters,
                               .Limits = Options.Limits});
    Limiting = restinio::run_async<Traits<false>>(
        Holder, settings<false>(Options.Budget.MaxOpenRequests), 1U);
  }

  bool isRunning() const { return Trusting || Limiting; }

  template <typename Running> static void stop(Running &Stopped) {
    if (!Stopped)
      return;
    Stopped->stop();
    Stopped->wait();
    Stopped.reset();
  }
};

Server::Server(ServerOptions Options, Handler &RequestHandler)
    : Pimpl(std::make_unique<Impl>(std::move(Options), RequestHandler)) {}

Server::~Server() { stop(Millis(0)); }

std::error_code Server::start() {
  try {
    Pimpl->listen();
  } catch (const std::exception &Failure) {
    logError("listen-failed", "address={} port={} reason=\"{}\"",
             Pimpl->Options.Address, Pimpl->Options.Port, Failure.what());
    return Errc::SystemFailure;
  }
  return {};
}

void Server::stop(Millis Timeout) {
  if (!Pimpl->isRunning())
    return;
  Pimpl->Pending->waitUntilEmpty(Timeout);
  Impl::stop(Pimpl->Trusting);
  Impl::stop(Pimpl->Limiting);
}

} // namespace daisylanding::http
