#ifndef DAISYLANDING_PEER_WIRE_H
#define DAISYLANDING_PEER_WIRE_H

#include "caller/CallerRequest.h"
#include "common/EventLog.h"
#include "http/Message.h"
#include "schema/peer.capnp.h"

#include <vector>

/// Conversions between the protocol's messages and the program's types.
namespace daisylanding::peer {

std::string toString(capnp::Text::Reader Text);

void write(wire::Request::Builder Out, const caller::CallerRequest &Source);
caller::CallerRequest read(wire::Request::Reader Source);

void write(wire::Answer::Builder Out, const http::Response &Source);
http::Response read(wire::Answer::Reader Source);

void write(wire::Event::Builder Out, const Event &Source);
Event read(wire::Event::Reader Source);

} // namespace daisylanding::peer

#endif
