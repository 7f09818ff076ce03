#ifndef DAISYLANDING_TESTS_STANDIN_SLOWLINK_H
#define DAISYLANDING_TESTS_STANDIN_SLOWLINK_H

#include "common/Thread.h"
#include "common/Time.h"

#include <asio.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>

namespace daisylanding::standin {

/// A loopback proxy to a server that limits the rate of the server's bytes, as
/// the link of a small instance does. All connections share the rate.
class SlowLink {
public:
  SlowLink(uint16_t Port, uint16_t ServerPort)
      : ServerPort(ServerPort),
        Acceptor(IoContext, {asio::ip::address_v4::loopback(), Port}) {
    acceptNext();
    IoThread.start("slow-link", [this] { IoContext.run(); });
  }
  ~SlowLink() {
    IoContext.stop();
    IoThread.join();
  }
  SlowLink(const SlowLink &) = delete;
  SlowLink &operator=(const SlowLink &) = delete;

  uint16_t port() const { return Acceptor.local_endpoint().port(); }
  /// 0 for no limit, as at first.
  void setRate(uint32_t BytesPerSecond) { Rate.store(BytesPerSecond); }

private:
  static constexpr size_t ChunkBytes = 8 << 10;

  struct Connection {
    explicit Connection(asio::io_context &IoContext)
        : Client(IoContext), Server(IoContext), Delay(IoContext) {}
    asio::ip::tcp::socket Client;
    asio::ip::tcp::socket Server;
    asio::steady_timer Delay;
    std::array<char, ChunkBytes> Requests{};
    std::array<char, ChunkBytes> Responses{};

    void close() {
      std::error_code Ignored;
      Client.close(Ignored);
      Server.close(Ignored);
    }
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void acceptNext() {
    auto Pair = std::make_shared<Connection>(IoContext);
    Acceptor.async_accept(Pair->Client, [this, Pair](std::error_code Error) {
      if (Error)
        return;
      std::error_code ConnectError;
      Pair->Server.connect({asio::ip::address_v4::loopback(), ServerPort},
                           ConnectError);
      if (!ConnectError) {
        forwardRequests(Pair);
        forwardResponses(Pair);
      }
      acceptNext();
    });
  }

  void forwardRequests(const ConnectionPtr &Pair) {
    Pair->Client.async_read_some(
        asio::buffer(Pair->Requests),
        [this, Pair](std::error_code Error, size_t Size) {
          if (!Error)
            asio::write(Pair->Server, asio::buffer(Pair->Requests, Size),
                        Error);
          if (Error)
            Pair->close();
          else
            forwardRequests(Pair);
        });
  }

  void forwardResponses(const ConnectionPtr &Pair) {
    Pair->Server.async_read_some(
        asio::buffer(Pair->Responses),
        [this, Pair](std::error_code Error, size_t Size) {
          if (Error) {
            Pair->close();
            return;
          }
          Pair->Delay.expires_at(transmittedAt(Size));
          Pair->Delay.async_wait([this, Pair, Size](std::error_code) {
            std::error_code WriteError;
            asio::write(Pair->Client, asio::buffer(Pair->Responses, Size),
                        WriteError);
            if (WriteError)
              Pair->close();
            else
              forwardResponses(Pair);
          });
        });
  }

  /// When the link has transmitted \p Size bytes more.
  std::chrono::steady_clock::time_point transmittedAt(size_t Size) {
    constexpr uint64_t MicrosPerSecond = 1'000'000;
    auto Now = std::chrono::steady_clock::now();
    uint32_t BytesPerSecond = Rate.load();
    if (BytesPerSecond == 0)
      return Now;
    std::chrono::microseconds Duration(Size * MicrosPerSecond / BytesPerSecond);
    IdleAt = std::max(IdleAt, Now) + Duration;
    return IdleAt;
  }

  uint16_t ServerPort;
  std::atomic<uint32_t> Rate{0};
  std::chrono::steady_clock::time_point IdleAt{};
  asio::io_context IoContext;
  asio::ip::tcp::acceptor Acceptor;
  Thread IoThread;
};

} // namespace daisylanding::standin

#endif
