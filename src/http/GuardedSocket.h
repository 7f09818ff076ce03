#ifndef DAISYLANDING_HTTP_GUARDEDSOCKET_H
#define DAISYLANDING_HTTP_GUARDEDSOCKET_H

#include "http/ConnectionGuard.h"

namespace daisylanding::http {

/// A server's socket that shows its guard what is read before the parser gets
/// it. Names in lower case stand in for those of the library's socket.
class GuardedSocket : public asio::ip::tcp::socket {
  using Base = asio::ip::tcp::socket;

public:
  explicit GuardedSocket(asio::io_context &Context)
      : Base(Context), Guard(&asio::use_service<ConnectionGuard>(Context)) {}

  // NOLINTBEGIN(readability-identifier-naming)
  template <typename Handler>
  void async_read_some(const asio::mutable_buffer &Into, Handler Next) {
    if (!Guard->watching()) {
      Base::async_read_some(Into, std::move(Next));
      return;
    }
    if (!Known)
      open();
    if (Known && Known->refused()) {
      drop(Into, std::move(Next));
      return;
    }
    auto Executor = asio::get_associated_executor(Next, get_executor());
    auto Took = [this, Into, Next = std::move(Next)](
                    const asio::error_code &Failure, size_t Length) mutable {
      std::string_view Bytes(static_cast<const char *>(Into.data()), Length);
      if (!Failure && Known)
        Length = Known->admit(Bytes, monotonicNow());
      if (Failure || Length > 0)
        Next(Failure, Length);
      else
        drop(Into, std::move(Next));
    };
    Base::async_read_some(Into, asio::bind_executor(Executor, std::move(Took)));
  }

  template <typename... Arguments> void close(Arguments &&...Each) {
    Known.reset();
    Base::close(std::forward<Arguments>(Each)...);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  void open() {
    asio::error_code Failure;
    auto Peer = remote_endpoint(Failure);
    if (!Failure)
      Known = Guard->open(native_handle(), Peer, monotonicNow());
  }

  /// Reads on without passing anything on, until the caller has gone or is cut
  /// off.
  template <typename Handler>
  void drop(const asio::mutable_buffer &Into, Handler Next) {
    auto Executor = asio::get_associated_executor(Next, get_executor());
    auto Took = [this, Into, Next = std::move(Next)](
                    const asio::error_code &Failure, size_t) mutable {
      if (Failure)
        Next(Failure, 0);
      else
        drop(Into, std::move(Next));
    };
    Base::async_read_some(Into, asio::bind_executor(Executor, std::move(Took)));
  }

  ConnectionGuard *Guard;
  std::shared_ptr<GuardedConnection> Known;
};

} // namespace daisylanding::http

#endif
