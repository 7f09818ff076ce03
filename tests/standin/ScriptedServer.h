#ifndef DAISYLANDING_TESTS_STANDIN_SCRIPTEDSERVER_H
#define DAISYLANDING_TESTS_STANDIN_SCRIPTEDSERVER_H

#include "common/Time.h"

#include <string>
#include <string_view>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace daisylanding::standin {

/// A listening socket without a thread: the test that owns it accepts
/// connections and says what is sent on them, and when. Its calls give up after
/// some seconds.
class ScriptedServer {
public:
  ScriptedServer() {
    sockaddr_in Any{};
    Any.sin_family = AF_INET;
    Any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::bind(Listener, reinterpret_cast<sockaddr *>(&Any), sizeof(Any));
    ::listen(Listener, MaxQueued);
    socklen_t Size = sizeof(Address);
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    limitWaits(Listener);
  }
  ~ScriptedServer() { ::close(Listener); }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(ntohs(Address.sin_port)) + "/";
  }

  /// Waits for a connection. Returns -1 if there is none.
  int accept() const {
    int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket >= 0)
      limitWaits(Socket);
    return Socket;
  }
  /// The connection that waits to be accepted; -1 if there is none.
  int acceptWaiting() const {
    ::fcntl(Listener, F_SETFL, O_NONBLOCK);
    int Socket = accept();
    ::fcntl(Listener, F_SETFL, 0);
    return Socket;
  }
  /// What has arrived; empty if nothing has.
  static std::string receive(int Socket) {
    char Bytes[4'096];
    ssize_t Count = ::recv(Socket, Bytes, sizeof(Bytes), MSG_DONTWAIT);
    return Count > 0 ? std::string(Bytes, static_cast<size_t>(Count)) : "";
  }
  static bool isClosedByClient(int Socket) {
    char Byte = 0;
    return ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  static void send(int Socket, std::string_view Bytes) {
    (void)!::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }
  static void close(int Socket) { ::close(Socket); }
  /// Closes with a RST.
  static void reset(int Socket) {
    linger Discard{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Discard, sizeof(Discard));
    ::close(Socket);
  }

private:
  static constexpr int MaxQueued = 64;

  static void limitWaits(int Socket) {
    timeval MaxWait{.tv_sec = 5};
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &MaxWait, sizeof(MaxWait));
  }

  int Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
};

} // namespace daisylanding::standin

#endif
