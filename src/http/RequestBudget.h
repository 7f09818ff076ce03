#ifndef DAISYLANDING_HTTP_REQUESTBUDGET_H
#define DAISYLANDING_HTTP_REQUESTBUDGET_H

#include "common/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::http {

/// What the clients of a server may make its process hold. A limit by address
/// of 0 is none.
struct BudgetLimits {
  /// Bytes of all requests that are being read or not yet let go of.
  size_t MaxRequestBytes = size_t{32} << 20;
  size_t MaxConnectionBytes = size_t{8} << 20; ///< The same of a connection.
  size_t MaxAddressBytes = 0;                  ///< The same of an address.
  size_t MaxConnections = 3'000;
  size_t MaxAddressConnections = 0;
  /// Unanswered requests of a connection; no more are read from it.
  size_t MaxOpenRequests = 16;
  size_t MaxUnsentBytes = size_t{1} << 20; ///< Of a connection's answers.
  /// Of a request. As many as fit into a head of 16 KB, at four bytes each.
  size_t MaxHeaderFields = 4'096;
  Millis BodyTimeout{60'000}; ///< For a request's head and body.
};

/// The limit for which a connection is closed.
enum class Overrun : uint8_t {
  RequestBytes,
  ConnectionBytes,
  AddressBytes,
  Connections,
  AddressConnections,
  Descriptors,
  UnsentBytes,
};

std::string_view overrunName(Overrun Reason);

/// Accounts for what all connections of a server hold, and decides which to
/// close when a limit is exceeded: those that hold most for longest by a
/// request that isn't whole. Requests that were read whole are kept. Without
/// I/O; used on one thread.
class RequestBudget {
public:
  using ConnectionId = uint64_t;

  struct Eviction {
    ConnectionId Connection = 0;
    Overrun Reason = Overrun::RequestBytes;
  };

  explicit RequestBudget(const BudgetLimits &Limits) : Limits(Limits) {}

  /// Adds a connection. Returns which ones are to be closed for it, or itself.
  std::vector<Eviction> open(ConnectionId Id, std::string_view Address,
                             bool FewDescriptorsLeft, TimePoint Now);

  struct Received {
    size_t PartialBytes = 0; ///< Of the request that isn't whole yet.
    TimePoint Since{};       ///< When it began, or the last one ended.
    std::span<const size_t> WholeBytes; ///< Of requests that ended with it.
  };
  /// Records what has been read from a connection. If the result names the
  /// connection itself, what was just read must not be handed on.
  std::vector<Eviction> receive(ConnectionId Id, const Received &Read,
                                TimePoint Now);

  /// A request of the connection has been answered.
  void recordAnswer(ConnectionId Id);
  /// The process has let go of a request that was read whole.
  void release(ConnectionId Id, size_t Bytes);
  /// The connection is closed. Its requests count until they are released.
  void close(ConnectionId Id);

  size_t heldBytes() const { return TotalBytes; }
  /// Connections that are open and not about to be closed.
  size_t openConnections() const { return OpenConnections; }

private:
  struct Use {
    std::string Address;
    size_t PartialBytes = 0;
    size_t WholeBytes = 0;
    size_t OpenRequests = 0;
    TimePoint Since{};
    bool Closing = false; ///< Counts no more, but for its whole requests.
    bool Closed = false;
  };
  struct AddressUse {
    size_t Bytes = 0;
    size_t Connections = 0;
  };
  using UseMap = std::map<ConnectionId, Use>;

  size_t evictableBytes(const Use &Holder) const;
  size_t bytesOf(const Use &Holder) const;
  void addBytes(const Use &Holder, size_t Before);
  void evict(UseMap::iterator Victim, Overrun Reason,
             std::vector<Eviction> &Evicted);
  void evictOldest(ConnectionId New, bool SameAddress, Overrun Reason,
                   std::vector<Eviction> &Evicted);
  void evictCostliest(const std::string *Address, size_t Bytes, Overrun Reason,
                      TimePoint Now, std::vector<Eviction> &Evicted);
  void forgetIfUnused(UseMap::iterator Holder);

  const BudgetLimits Limits;
  UseMap Uses;
  std::map<std::string, AddressUse, std::less<>> Addresses;
  size_t TotalBytes = 0;
  size_t OpenConnections = 0;
};

} // namespace daisylanding::http

#endif
