#ifndef DAISYLANDING_HTTP_LIMITEDSOCKET_H
#define DAISYLANDING_HTTP_LIMITEDSOCKET_H

#include "http/ConnectionLimiter.h"

namespace daisylanding::http {

/// Server socket that passes received bytes through the ConnectionLimiter
/// before the HTTP parser. The lower-case members hide those of asio's socket.
class LimitedSocket : public asio::ip::tcp::socket {
  using Base = asio::ip::tcp::socket;

public:
  explicit LimitedSocket(asio::io_context &Context)
      : Base(Context), Limiter(&asio::use_service<ConnectionLimiter>(Context)) {
  }

  // NOLINTBEGIN(readability-identifier-naming)
  template <typename ReadHandler>
  void async_read_some(const asio::mutable_buffer &Buffer, ReadHandler OnRead) {
    if (!Limiter->isEnabled()) {
      Base::async_read_some(Buffer, std::move(OnRead));
      return;
    }
    if (!Connection)
      startTracking();
    if (Connection && Connection->isRefused()) {
      discardReads(Buffer, std::move(OnRead));
      return;
    }
    auto Executor = asio::get_associated_executor(OnRead, get_executor());
    auto OnReceived = [this, Buffer, OnRead = std::move(OnRead)](
                          const asio::error_code &Failure,
                          size_t Length) mutable {
      std::string_view Bytes(static_cast<const char *>(Buffer.data()), Length);
      if (!Failure && Connection)
        Length = Connection->scanReceived(Bytes, monotonicNow());
      if (Failure || Length > 0)
        OnRead(Failure, Length);
      else
        discardReads(Buffer, std::move(OnRead));
    };
    Base::async_read_some(Buffer,
                          asio::bind_executor(Executor, std::move(OnReceived)));
  }

  template <typename... Arguments> void close(Arguments &&...Args) {
    Connection.reset();
    Base::close(std::forward<Arguments>(Args)...);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  void startTracking() {
    asio::error_code Failure;
    auto Peer = remote_endpoint(Failure);
    if (!Failure)
      Connection = Limiter->track(native_handle(), Peer, monotonicNow());
  }

  /// Reads and discards input until the connection ends.
  template <typename ReadHandler>
  void discardReads(const asio::mutable_buffer &Buffer, ReadHandler OnRead) {
    auto Executor = asio::get_associated_executor(OnRead, get_executor());
    auto OnReceived = [this, Buffer, OnRead = std::move(OnRead)](
                          const asio::error_code &Failure, size_t) mutable {
      if (Failure)
        OnRead(Failure, 0);
      else
        discardReads(Buffer, std::move(OnRead));
    };
    Base::async_read_some(Buffer,
                          asio::bind_executor(Executor, std::move(OnReceived)));
  }

  ConnectionLimiter *Limiter;
  std::shared_ptr<LimitedConnection> Connection;
};

} // namespace daisylanding::http

#endif
