#include "peer/Wire.h"

namespace daisylanding::peer {

namespace {

kj::ArrayPtr<const kj::byte> bytes(const std::string &Text) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte *>(Text.data()),
                      Text.size());
}

std::string fromBytes(capnp::Data::Reader Data) {
  return {reinterpret_cast<const char *>(Data.begin()), Data.size()};
}

} // namespace

std::string toString(capnp::Text::Reader Text) {
  return {Text.begin(), Text.size()};
}

void write(wire::Request::Builder Out, const caller::CallerRequest &Source) {
  Out.setService(Source.Service);
  Out.setClass(Source.Class);
  Out.setKey(Source.IdempotencyKey);
  Out.setRepeatable(Source.Repeatable);
  Out.setTimeLeftMs(Source.TimeLeft ? Source.TimeLeft->count() : 0);
  Out.setContentType(Source.ContentType);
  Out.setBody(bytes(Source.Body));
}

caller::CallerRequest read(wire::Request::Reader Source) {
  caller::CallerRequest Out;
  Out.Service = toString(Source.getService());
  Out.Class = toString(Source.getClass());
  Out.IdempotencyKey = toString(Source.getKey());
  Out.Repeatable = Source.getRepeatable();
  if (Source.getTimeLeftMs() > 0)
    Out.TimeLeft = Millis(Source.getTimeLeftMs());
  Out.ContentType = toString(Source.getContentType());
  Out.Body = fromBytes(Source.getBody());
  return Out;
}

void write(wire::Answer::Builder Out, const http::Response &Source) {
  Out.setStatus(Source.Status);
  Out.setBody(bytes(Source.Body));
  auto Headers = Out.initHeaders(Source.Headers.size());
  for (unsigned I = 0; I < Source.Headers.size(); ++I) {
    Headers[I].setName(Source.Headers[I].first);
    Headers[I].setValue(Source.Headers[I].second);
  }
}

http::Response read(wire::Answer::Reader Source) {
  http::Response Out{.Status = Source.getStatus()};
  for (auto Each : Source.getHeaders())
    Out.Headers.emplace_back(toString(Each.getName()),
                             toString(Each.getValue()));
  Out.Body = fromBytes(Source.getBody());
  return Out;
}

void write(wire::Event::Builder Out, const Event &Source) {
  Out.setStamp(Source.Stamp);
  Out.setEntry(Source.Entry);
  Out.setKind(Source.Kind);
  Out.setSubject(Source.Subject);
  Out.setDetail(Source.Detail);
}

Event read(wire::Event::Reader Source) {
  return {.Stamp = Source.getStamp(),
          .Entry = toString(Source.getEntry()),
          .Kind = toString(Source.getKind()),
          .Subject = toString(Source.getSubject()),
          .Detail = toString(Source.getDetail())};
}

} // namespace daisylanding::peer
