#include "cell/AdviceLines.h"

#include <algorithm>

namespace daisylanding::cell {

namespace {

/// A line takes another call when less work than this is ahead of it: enough
/// to bridge the way to another entry and back.
constexpr double RoomBelowMs = 15;
constexpr Millis BaseRest{500};
constexpr uint32_t MaxRestDoublings = 3;

} // namespace

void AdviceLines::setLines(const std::vector<std::string> &Addresses) {
  std::erase_if(Lines, [&](const Line &Each) {
    return std::find(Addresses.begin(), Addresses.end(), Each.Address) ==
           Addresses.end();
  });
  for (const std::string &Address : Addresses) {
    bool Known = std::any_of(Lines.begin(), Lines.end(), [&](const Line &Each) {
      return Each.Address == Address;
    });
    if (!Known)
      Lines.push_back({.Address = Address});
  }
}

std::optional<AdviceLines::Assignment> AdviceLines::next(TimePoint Now) {
  if (Queue.empty())
    return std::nullopt;
  Line *Best = nullptr;
  for (Line &Each : Lines) {
    if (Each.RestUntil > Now || Each.AheadMs >= RoomBelowMs)
      continue;
    if (!Best || Each.AheadMs < Best->AheadMs)
      Best = &Each;
  }
  if (!Best)
    return std::nullopt;
  auto First = std::min_element(
      Queue.begin(), Queue.end(),
      [](const AdviceCommand &Left, const AdviceCommand &Right) {
        // Of calls that are due alike, the shorter holds up fewer others.
        return Left.Due + Micros(static_cast<int64_t>(Left.ExpectedMs * 1e3)) <
               Right.Due + Micros(static_cast<int64_t>(Right.ExpectedMs * 1e3));
      });
  Assignment Out{.Line = Best->Address, .Command = std::move(*First)};
  Queue.erase(First);
  Best->AheadMs += Out.Command.ExpectedMs;
  return Out;
}

void AdviceLines::done(std::string_view Address, double ExpectedMs, bool Failed,
                       TimePoint Now) {
  for (Line &Each : Lines) {
    if (Each.Address != Address)
      continue;
    Each.AheadMs = std::max(0.0, Each.AheadMs - ExpectedMs);
    if (!Failed) {
      Each.FailuresInRow = 0;
      return;
    }
    uint32_t Doublings = std::min(Each.FailuresInRow++, MaxRestDoublings);
    Each.RestUntil = Now + Millis(BaseRest.count() << Doublings);
  }
}

} // namespace daisylanding::cell
