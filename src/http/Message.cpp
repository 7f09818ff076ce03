#include "http/Message.h"

#include <strings.h>

#include <cctype>

namespace daisylanding::http {

namespace {

int hexDigit(char Character) {
  if (Character >= '0' && Character <= '9')
    return Character - '0';
  if (Character >= 'a' && Character <= 'f')
    return Character - 'a' + 10;
  if (Character >= 'A' && Character <= 'F')
    return Character - 'A' + 10;
  return -1;
}

std::string percentDecode(std::string_view Text) {
  std::string Decoded;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      int High = hexDigit(Text[I + 1]);
      int Low = hexDigit(Text[I + 2]);
      if (High >= 0 && Low >= 0) {
        Decoded += static_cast<char>(High * 16 + Low);
        I += 2;
        continue;
      }
    }
    Decoded += Text[I] == '+' ? ' ' : Text[I];
  }
  return Decoded;
}

} // namespace

std::string_view reasonPhrase(uint16_t Status) {
  struct Phrase {
    uint16_t Status;
    std::string_view Text;
  };
  static constexpr Phrase Phrases[] = {{200, "OK"},
                                       {202, "Accepted"},
                                       {400, "Bad Request"},
                                       {401, "Unauthorized"},
                                       {404, "Not Found"},
                                       {405, "Method Not Allowed"},
                                       {408, "Request Timeout"},
                                       {409, "Conflict"},
                                       {410, "Gone"},
                                       {412, "Precondition Failed"},
                                       {413, "Payload Too Large"},
                                       {421, "Misdirected Request"},
                                       {422, "Unprocessable Entity"},
                                       {429, "Too Many Requests"},
                                       {431, "Request Header Fields Too Large"},
                                       {500, "Internal Server Error"},
                                       {502, "Bad Gateway"},
                                       {503, "Service Unavailable"},
                                       {504, "Gateway Timeout"}};
  for (const Phrase &Candidate : Phrases) {
    if (Candidate.Status == Status)
      return Candidate.Text;
  }
  return "Unassigned";
}

bool sameHeaderName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

const std::string *findHeader(const std::vector<Header> &Headers,
                              std::string_view Name) {
  for (const Header &Field : Headers) {
    if (sameHeaderName(Field.first, Name))
      return &Field.second;
  }
  return nullptr;
}

std::string_view bearerToken(const std::vector<Header> &Headers) {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string *Field = findHeader(Headers, "Authorization");
  if (!Field || Field->size() <= Scheme.size() ||
      strncasecmp(Field->data(), Scheme.data(), Scheme.size()) != 0)
    return {};
  std::string_view Token = *Field;
  Token.remove_prefix(Scheme.size());
  size_t First = Token.find_first_not_of(' ');
  if (First == std::string_view::npos)
    return {};
  return Token.substr(First, Token.find_last_not_of(' ') + 1 - First);
}

std::string_view targetPath(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string queryValue(std::string_view Target, std::string_view Name) {
  size_t QueryStart = Target.find('?');
  if (QueryStart == std::string_view::npos)
    return {};
  std::string_view Query = Target.substr(QueryStart + 1);
  while (!Query.empty()) {
    size_t PairEnd = Query.find('&');
    std::string_view Pair = Query.substr(0, PairEnd);
    size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name && Equals != std::string_view::npos)
      return percentDecode(Pair.substr(Equals + 1));
    if (PairEnd == std::string_view::npos)
      break;
    Query.remove_prefix(PairEnd + 1);
  }
  return {};
}

std::string percentEncode(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (char Character : Text) {
    auto Byte = static_cast<unsigned char>(Character);
    if (std::isalnum(Byte) || Character == '-' || Character == '_' ||
        Character == '.' || Character == '~') {
      Encoded += Character;
      continue;
    }
    Encoded += '%';
    Encoded += Digits[Byte >> 4];
    Encoded += Digits[Byte & 15];
  }
  return Encoded;
}

} // namespace daisylanding::http
