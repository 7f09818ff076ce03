#ifndef DAISYLANDING_ENTRY_REQUESTMESSAGES_H
#define DAISYLANDING_ENTRY_REQUESTMESSAGES_H

#include "caller/CallerRequest.h"
#include "http/Server.h"
#include "policy/CreditPlanner.h"

#include <cstdint>
#include <string>

namespace daisylanding::entry {

/// A request to the request loop, from a caller or another entry.
struct IncomingRequest {
  caller::CallerRequest Request;
  http::Responder Respond;
  TimePoint Arrived;
  bool Forwarded = false; ///< By a peer; not forwarded again.
};

/// A request to forward to another entry.
struct ForwardCall {
  uint64_t Id = 0;
  std::string PeerAddress;
  caller::CallerRequest Request;
};

/// The peer's answer; Unreachable if the request was not sent.
struct ForwardReply {
  uint64_t Id = 0;
  Result<http::Response> Answer = Errc::Unreachable;
};

/// A service's credit row as read from the table.
struct CreditRow {
  std::string Service;
  policy::CreditTable Table;
  uint64_t Version = 0;
  /// How many writes of the request loop were resolved before the row was read.
  /// A row read earlier could restore credits that were given away since.
  uint64_t WritesResolved = 0;
};

/// Replaces the row if it is still at `Version`.
struct CreditWrite {
  std::string Service;
  policy::CreditTable NewTable;
  uint64_t Version = 0;
};

} // namespace daisylanding::entry

#endif
