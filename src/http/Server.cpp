#include "http/Server.h"

#include "common/Log.h"
#include "http/GuardedSocket.h"

#include <restinio/all.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace daisylanding::http {

namespace {

/// Connections beyond the limit that wait until an idle one has given way.
constexpr size_t SpareConnections = 64;

struct Traits : public restinio::default_single_thread_traits_t {
  // NOLINTBEGIN(readability-identifier-naming): the library's names.
  using stream_socket_t = GuardedSocket;
  static constexpr bool use_connection_count_limiter = true;
  // NOLINTEND(readability-identifier-naming)
};

using RestinioServer = restinio::http_server_t<Traits>;

/// Counts requests whose answer is not yet written.
class Outstanding {
public:
  void add() { Count.fetch_add(1); }
  void remove() {
    if (Count.fetch_sub(1) == 1) {
      std::lock_guard<std::mutex> Lock(Mutex);
      Empty.notify_all();
    }
  }
  void waitEmpty(Millis Longest) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Empty.wait_for(Lock, Longest, [this] { return Count.load() == 0; });
  }

private:
  std::atomic<int64_t> Count{0};
  std::mutex Mutex;
  std::condition_variable Empty;
};

Request convert(const restinio::request_handle_t &Source) {
  Request Out;
  Out.Method = Source->header().method().c_str();
  Out.Target = Source->header().request_target();
  for (const auto &Field : Source->header())
    Out.Headers.emplace_back(Field.name(), Field.value());
  Out.Body = Source->body();
  Out.ConnectionId = Source->connection_id();
  return Out;
}

restinio::http_status_line_t statusLine(uint16_t Status) {
  return {restinio::http_status_code_t{Status},
          std::string(reasonPhrase(Status))};
}

} // namespace

struct Server::Impl {
  ServerOptions Options;
  Handler &Target;
  std::shared_ptr<Outstanding> Pending = std::make_shared<Outstanding>();
  ConnectionGuard *Guard = nullptr; ///< Lives in the server's I/O context.
  std::unique_ptr<restinio::running_server_instance_t<RestinioServer>> Running;

  Impl(ServerOptions Options, Handler &Target)
      : Options(std::move(Options)), Target(Target) {}

  restinio::request_handling_status_t
  accept(const restinio::request_handle_t &Source) {
    Pending->add();
    auto Written = [Counter = Pending, Watching = Guard,
                    Peer = Source->remote_endpoint()](const auto &) {
      Watching->answered(Peer);
      Counter->remove();
    };
    Target.handle(convert(Source), [Source, Written](Response Answer) {
      auto Builder = Source->create_response(statusLine(Answer.Status));
      for (Header &Each : Answer.Headers)
        Builder.append_header(std::move(Each.first), std::move(Each.second));
      Builder.set_body(std::move(Answer.Body));
      Builder.done(Written);
    });
    return restinio::request_accepted();
  }

  void run() {
    auto Context = std::make_shared<asio::io_context>();
    Guard = &asio::use_service<ConnectionGuard>(*Context);
    size_t Connections = Options.MaxConnections;
    if (Options.Limits) {
      Guard->watch(*Context, Options.MaxConnections, Options.Limits);
      Connections += SpareConnections;
    }
    auto Settings =
        restinio::server_settings_t<Traits>{}
            .address(Options.Address)
            .port(Options.Port)
            .max_parallel_connections(Connections)
            .max_pipelined_requests(Options.MaxPipelined)
            .read_next_http_message_timelimit(Options.ReadTimeout)
            .handle_request_timeout(Options.HandleTimeout)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}.max_body_size(
                    Options.MaxBodyBytes))
            .request_handler([this](auto Source) { return accept(Source); });
    Running = restinio::run_async<Traits>(
        restinio::io_context_holder_t(Context), std::move(Settings), 1U);
  }
};

Server::Server(ServerOptions Options, Handler &Target)
    : Inner(std::make_unique<Impl>(std::move(Options), Target)) {}

Server::~Server() { stop(Millis(0)); }

std::error_code Server::start() {
  try {
    Inner->run();
  } catch (const std::exception &Failure) {
    logError("listen-failed", "address={} port={} reason=\"{}\"",
             Inner->Options.Address, Inner->Options.Port, Failure.what());
    return Errc::SystemFailure;
  }
  return {};
}

void Server::stop(Millis Longest) {
  if (!Inner->Running)
    return;
  Inner->Pending->waitEmpty(Longest);
  Inner->Running->stop();
  Inner->Running->wait();
  Inner->Running.reset();
}

} // namespace daisylanding::http
