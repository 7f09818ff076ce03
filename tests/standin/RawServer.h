#ifndef DAISYLANDING_TESTS_STANDIN_RAWSERVER_H
#define DAISYLANDING_TESTS_STANDIN_RAWSERVER_H

#include "common/Thread.h"

#include <asio.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace daisylanding::standin {

/// What a raw server does with the request it has just read.
enum class RawAction {
  Answer,        ///< A whole answer; the connection stays open.
  CloseSilently, ///< Closes without a byte.
  CloseForGood,  ///< The same, and accepts no further connection.
  Truncate,      ///< Announces ten bytes, sends four, closes.
  NoLength,      ///< An answer whose end is the connection's.
  Hang,          ///< Reads on and never answers.
};

/// Misbehaves as an HTTP library would not: the requests that arrive, over all
/// connections, meet the actions in their order.
class RawServer {
public:
  explicit RawServer(std::vector<RawAction> Actions)
      : Actions(std::move(Actions)),
        Acceptor(Io, {asio::ip::address_v4::loopback(), 0}) {
    Port = Acceptor.local_endpoint().port();
    accept();
    Loop.start("raw-server", [this] { Io.run(); });
  }
  ~RawServer() {
    Io.stop();
    Loop.join();
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }
  size_t requests() const { return Requests.load(); }

private:
  struct Connection {
    explicit Connection(asio::io_context &Io) : Socket(Io) {}
    asio::ip::tcp::socket Socket;
    asio::streambuf Buffer;
  };
  using Handle = std::shared_ptr<Connection>;

  void accept() {
    auto Next = std::make_shared<Connection>(Io);
    Acceptor.async_accept(Next->Socket, [this, Next](std::error_code Failure) {
      if (Failure)
        return;
      readHead(Next);
      accept();
    });
  }

  void readHead(const Handle &From) {
    asio::async_read_until(
        From->Socket, From->Buffer, "\r\n\r\n",
        [this, From](std::error_code Failure, size_t Bytes) {
          if (Failure)
            return;
          // The tests' bodies come in one piece with their head.
          From->Buffer.consume(std::max(Bytes, From->Buffer.size()));
          size_t Index = Requests.fetch_add(1);
          act(From,
              Index < Actions.size() ? Actions[Index] : RawAction::Answer);
        });
  }

  void act(const Handle &To, RawAction What) {
    switch (What) {
    case RawAction::Answer:
      send(To, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true);
      break;
    case RawAction::Truncate:
      send(To, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart", false);
      break;
    case RawAction::NoLength:
      send(To, "HTTP/1.1 200 OK\r\n\r\npart", false);
      break;
    case RawAction::CloseForGood:
      Acceptor.close();
      To->Socket.close();
      break;
    case RawAction::CloseSilently:
      To->Socket.close();
      break;
    case RawAction::Hang:
      readHead(To);
      break;
    }
  }

  void send(const Handle &To, const std::string &Text, bool KeepOpen) {
    auto Kept = std::make_shared<std::string>(Text);
    asio::async_write(To->Socket, asio::buffer(*Kept),
                      [this, To, Kept, KeepOpen](std::error_code, size_t) {
                        if (KeepOpen)
                          readHead(To);
                        else
                          To->Socket.close();
                      });
  }

  std::vector<RawAction> Actions;
  asio::io_context Io;
  asio::ip::tcp::acceptor Acceptor;
  uint16_t Port = 0;
  std::atomic<size_t> Requests{0};
  Thread Loop;
};

} // namespace daisylanding::standin

#endif
