#ifndef DAISYLANDING_TESTS_STANDIN_RAWSERVER_H
#define DAISYLANDING_TESTS_STANDIN_RAWSERVER_H

#include "common/Thread.h"
#include "common/Time.h"

#include <asio.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace daisylanding::standin {

/// How a RawServer handles one request.
enum class RawAction {
  Respond,               ///< Sends a complete response, keeps the connection.
  RespondAndClose,       ///< Sends a complete response, then closes.
  CloseWithoutResponse,  ///< Closes the connection without a response.
  CloseAndStopListening, ///< Also accepts no further connections.
  TruncateBody,          ///< Announces ten bytes, sends four, then closes.
  OmitContentLength,     ///< Ends the response by closing the connection.
  Hang,                  ///< Keeps reading and never responds.
  Trickle,               ///< Sends ten bytes of body, one each 100 ms.
  StallInBody,           ///< Announces ten bytes, sends four and no more.
};

/// A server on raw sockets that can break HTTP in ways a library does not
/// allow. The n-th request over all connections gets the n-th action; later
/// ones get RawAction::Respond.
class RawServer {
public:
  /// \p Answer is the body of complete responses, \p Status their status line.
  explicit RawServer(std::vector<RawAction> Actions,
                     const std::string &Answer = "ok",
                     const std::string &Status = "200 OK")
      : Actions(std::move(Actions)),
        Response("HTTP/1.1 " + Status + "\r\nContent-Length: " +
                 std::to_string(Answer.size()) + "\r\n\r\n" + Answer),
        Acceptor(IoContext, {asio::ip::address_v4::loopback(), 0}) {
    Port = Acceptor.local_endpoint().port();
    acceptNext();
    IoThread.start("raw-server", [this] { IoContext.run(); });
  }
  ~RawServer() {
    IoContext.stop();
    IoThread.join();
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }
  size_t requestCount() const { return RequestCount.load(); }
  size_t connectionCount() const { return ConnectionCount.load(); }

private:
  struct Connection {
    explicit Connection(asio::io_context &IoContext) : Socket(IoContext) {}
    asio::ip::tcp::socket Socket;
    asio::streambuf ReceiveBuffer;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void acceptNext() {
    auto NewConnection = std::make_shared<Connection>(IoContext);
    Acceptor.async_accept(NewConnection->Socket,
                          [this, NewConnection](std::error_code Error) {
                            if (Error)
                              return;
                            ConnectionCount.fetch_add(1);
                            readHead(NewConnection);
                            acceptNext();
                          });
  }

  void readHead(const ConnectionPtr &Peer) {
    asio::async_read_until(
        Peer->Socket, Peer->ReceiveBuffer, "\r\n\r\n",
        [this, Peer](std::error_code Error, size_t HeadSize) {
          if (Error)
            return;
          // Test requests arrive in one segment, so that the body is in the
          // buffer already.
          Peer->ReceiveBuffer.consume(
              std::max(HeadSize, Peer->ReceiveBuffer.size()));
          size_t Index = RequestCount.fetch_add(1);
          performAction(Peer, Index < Actions.size() ? Actions[Index]
                                                     : RawAction::Respond);
        });
  }

  void performAction(const ConnectionPtr &Peer, RawAction Action) {
    switch (Action) {
    case RawAction::Respond:
      send(Peer, Response, true);
      break;
    case RawAction::RespondAndClose:
      send(Peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
      break;
    case RawAction::TruncateBody:
      send(Peer, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart", false);
      break;
    case RawAction::OmitContentLength:
      send(Peer, "HTTP/1.1 200 OK\r\n\r\npart", false);
      break;
    case RawAction::CloseAndStopListening:
      Acceptor.close();
      Peer->Socket.close();
      break;
    case RawAction::CloseWithoutResponse:
      Peer->Socket.close();
      break;
    case RawAction::Hang:
      readHead(Peer);
      break;
    case RawAction::Trickle:
      send(Peer, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", true);
      trickle(Peer, 10);
      break;
    case RawAction::StallInBody:
      send(Peer, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart", true);
      break;
    }
  }

  void trickle(const ConnectionPtr &Peer, int BytesLeft) {
    if (BytesLeft == 0)
      return;
    auto Delay = std::make_shared<asio::steady_timer>(IoContext, Millis(100));
    Delay->async_wait([this, Peer, Delay, BytesLeft](std::error_code) {
      std::error_code Ignored;
      asio::write(Peer->Socket, asio::buffer("x", 1), Ignored);
      trickle(Peer, BytesLeft - 1);
    });
  }

  void send(const ConnectionPtr &Peer, const std::string &Message,
            bool KeepOpen) {
    auto SentText = std::make_shared<std::string>(Message);
    asio::async_write(
        Peer->Socket, asio::buffer(*SentText),
        [this, Peer, SentText, KeepOpen](std::error_code, size_t) {
          if (KeepOpen)
            readHead(Peer);
          else
            Peer->Socket.close();
        });
  }

  std::vector<RawAction> Actions;
  std::string Response; ///< A complete one.
  asio::io_context IoContext;
  asio::ip::tcp::acceptor Acceptor;
  uint16_t Port = 0;
  std::atomic<size_t> RequestCount{0};
  std::atomic<size_t> ConnectionCount{0};
  Thread IoThread;
};

} // namespace daisylanding::standin

#endif
