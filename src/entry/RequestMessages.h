#ifndef DAISYLANDING_ENTRY_REQUESTMESSAGES_H
#define DAISYLANDING_ENTRY_REQUESTMESSAGES_H

#include "caller/CallerRequest.h"
#include "http/Server.h"
#include "policy/CreditPlanner.h"

#include <cstdint>
#include <string>

namespace daisylanding::entry {

/// A request that enters the front loop, from a caller or another entry.
struct IncomingRequest {
  caller::CallerRequest Request;
  http::Responder Respond;
  TimePoint Arrived;
  bool Forwarded = false; ///< By a peer; it is not forwarded again.
};

/// A request handed to another entry.
struct ForwardCall {
  uint64_t Id = 0;
  std::string PeerAddress;
  caller::CallerRequest Request;
};

/// The peer's whole answer; Unreachable when it surely was not sent.
struct ForwardReply {
  uint64_t Id = 0;
  Result<http::Response> Answer = Errc::Unreachable;
};

/// A service's escrow row as read from the table.
struct CreditRow {
  std::string Service;
  policy::CreditTable Table;
  uint64_t Version = 0;
  /// How many of the front's writes were settled before it was read. A row
  /// read before a write was settled could hand back slots given away.
  uint64_t WritesResolved = 0;
};

/// Asks the credit loop to replace the row if it is still at `Version`.
struct CreditWrite {
  std::string Service;
  policy::CreditTable NewTable;
  uint64_t Version = 0;
};

} // namespace daisylanding::entry

#endif
