#include "peer/Wire.h"

namespace daisylanding::peer {

namespace {

kj::ArrayPtr<const kj::byte> toBytes(const std::string &Text) {
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

void write(wire::Request::Builder Builder,
           const caller::CallerRequest &Source) {
  Builder.setService(Source.Service);
  Builder.setClass(Source.Class);
  Builder.setKey(Source.IdempotencyKey);
  Builder.setRepeatable(Source.Repeatable);
  Builder.setTimeLeftMs(Source.TimeLeft ? Source.TimeLeft->count() : 0);
  Builder.setContentType(Source.ContentType);
  Builder.setBody(toBytes(Source.Body));
}

caller::CallerRequest read(wire::Request::Reader Reader) {
  caller::CallerRequest Request;
  Request.Service = toString(Reader.getService());
  Request.Class = toString(Reader.getClass());
  Request.IdempotencyKey = toString(Reader.getKey());
  Request.Repeatable = Reader.getRepeatable();
  if (Reader.getTimeLeftMs() > 0)
    Request.TimeLeft = Millis(Reader.getTimeLeftMs());
  Request.ContentType = toString(Reader.getContentType());
  Request.Body = fromBytes(Reader.getBody());
  return Request;
}

void write(wire::Answer::Builder Builder, const http::Response &Source) {
  Builder.setStatus(Source.Status);
  Builder.setBody(toBytes(Source.Body));
  auto Headers = Builder.initHeaders(Source.Headers.size());
  for (unsigned Index = 0; Index < Source.Headers.size(); ++Index) {
    Headers[Index].setName(Source.Headers[Index].first);
    Headers[Index].setValue(Source.Headers[Index].second);
  }
}

http::Response read(wire::Answer::Reader Reader) {
  http::Response Response{.Status = Reader.getStatus()};
  for (auto HeaderReader : Reader.getHeaders())
    Response.Headers.emplace_back(toString(HeaderReader.getName()),
                                  toString(HeaderReader.getValue()));
  Response.Body = fromBytes(Reader.getBody());
  return Response;
}

void write(wire::Event::Builder Builder, const Event &Source) {
  Builder.setStamp(Source.Stamp);
  Builder.setEntry(Source.Entry);
  Builder.setKind(Source.Kind);
  Builder.setSubject(Source.Subject);
  Builder.setDetail(Source.Detail);
}

Event read(wire::Event::Reader Reader) {
  return {.Stamp = Reader.getStamp(),
          .Entry = toString(Reader.getEntry()),
          .Kind = toString(Reader.getKind()),
          .Subject = toString(Reader.getSubject()),
          .Detail = toString(Reader.getDetail())};
}

} // namespace daisylanding::peer
