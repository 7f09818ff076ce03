#ifndef DAISYLANDING_PEER_WIRE_H
#define DAISYLANDING_PEER_WIRE_H

#include "caller/CallerRequest.h"
#include "common/EventLog.h"
#include "http/Message.h"
#include "schema/peer.capnp.h"

#include <vector>

/// Conversions between Cap'n Proto messages and the types of the process.
namespace daisylanding::peer {

std::string toString(capnp::Text::Reader Text);

void write(wire::Request::Builder Builder, const caller::CallerRequest &Source);
caller::CallerRequest read(wire::Request::Reader Reader);

void write(wire::Answer::Builder Builder, const http::Response &Source);
http::Response read(wire::Answer::Reader Reader);

void write(wire::Event::Builder Builder, const Event &Source);
Event read(wire::Event::Reader Reader);

} // namespace daisylanding::peer

#endif
