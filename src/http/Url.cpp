#include "http/Url.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace daisylanding::http {

namespace {

constexpr uint16_t DefaultPort = 80;

std::string_view withoutScheme(std::string_view Url) {
  constexpr std::string_view Separator = "://";
  size_t Scheme = Url.find(Separator);
  if (Scheme != std::string_view::npos)
    Url.remove_prefix(Scheme + Separator.size());
  return Url;
}

} // namespace

std::string_view hostOfUrl(std::string_view Url) {
  std::string_view Rest = withoutScheme(Url);
  return Rest.substr(0, Rest.find_first_of("/?"));
}

std::string targetOfUrl(std::string_view Url) {
  std::string_view Rest = withoutScheme(Url);
  size_t HostEnd = std::min(Rest.find_first_of("/?"), Rest.size());
  std::string_view Target = Rest.substr(HostEnd);
  return Target.starts_with('/') ? std::string(Target)
                                 : "/" + std::string(Target);
}

std::optional<sockaddr_in> addressOfHost(std::string_view Host) {
  size_t Colon = Host.find(':');
  uint16_t Port = DefaultPort;
  if (Colon != std::string_view::npos) {
    std::string_view Digits = Host.substr(Colon + 1);
    auto Parsed =
        std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
    if (Parsed.ec != std::errc() || Port == 0 ||
        Parsed.ptr != Digits.data() + Digits.size())
      return std::nullopt;
  }
  std::string Name(Host.substr(0, Colon));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  if (inet_pton(AF_INET, Name.c_str(), &Address.sin_addr) != 1)
    return std::nullopt;
  return Address;
}

} // namespace daisylanding::http
