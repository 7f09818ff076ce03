#include "cell/KeyRing.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <random>

namespace daisylanding::cell {

namespace {

uint64_t newSeed() {
  constexpr unsigned WordBits = 32;
  std::random_device Source;
  return uint64_t{Source()} << WordBits | Source();
}

uint64_t hashOf(std::string_view Key) {
  static const uint64_t Seed = newSeed();
  return XXH3_64bits_withSeed(Key.data(), Key.size(), Seed);
}

/// Takes the same time wherever keys of one length differ.
bool isSameKey(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned char Difference = 0;
  for (size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I] ^ Right[I]);
  return Difference == 0;
}

} // namespace

std::error_code KeyRing::add(std::string_view Key, uint32_t Workspace) {
  if (Key.empty())
    return Errc::OutOfRange;
  if (auto Owner = find(Key))
    return *Owner == Workspace ? std::error_code() : Errc::OutOfRange;
  Keys.emplace(hashOf(Key),
               Entry{.Key = std::string(Key), .Workspace = Workspace});
  return {};
}

std::optional<uint32_t> KeyRing::find(std::string_view Key) const {
  auto [Begin, End] = Keys.equal_range(hashOf(Key));
  for (auto It = Begin; It != End; ++It) {
    if (isSameKey(It->second.Key, Key))
      return It->second.Workspace;
  }
  return std::nullopt;
}

void KeyRing::visit(
    const std::function<void(std::string_view, uint32_t)> &Visit) const {
  for (const auto &[Hash, Held] : Keys)
    Visit(Held.Key, Held.Workspace);
}

} // namespace daisylanding::cell
