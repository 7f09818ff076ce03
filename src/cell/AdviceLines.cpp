#include "cell/AdviceLines.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace daisylanding::cell {

namespace {

/// A line takes another call when less work than this is ahead of it: enough
/// to bridge the way to another entry and back.
constexpr double RoomBelowMs = 30;
/// The longest call that an urgent start may wait behind.
constexpr double ShortCallMs = 100;
/// Of the lines, those for short calls: they are many, but soon over.
constexpr double ShortShare = 0.375;
constexpr Millis BaseRest{500};
constexpr uint32_t MaxRestDoublings = 3;

} // namespace

bool AdviceLines::isShort(double ExpectedMs) {
  return ExpectedMs <= ShortCallMs;
}

void AdviceLines::setLines(const std::vector<LineInfo> &Present) {
  std::erase_if(Lines, [&](const Line &Each) {
    return std::none_of(Present.begin(), Present.end(),
                        [&](const LineInfo &Other) {
                          return Other.Entry == Each.Info.Entry &&
                                 Other.Address == Each.Info.Address;
                        });
  });
  for (const LineInfo &Info : Present) {
    bool Known = std::any_of(Lines.begin(), Lines.end(), [&](const Line &Each) {
      return Each.Info.Entry == Info.Entry;
    });
    if (!Known)
      Lines.push_back({.Info = Info});
  }
  // By hash, so that the lines of one zone don't all go to one kind.
  std::sort(
      Lines.begin(), Lines.end(), [](const Line &Left, const Line &Right) {
        auto Key = [](const Line &Each) {
          return XXH3_64bits(Each.Info.Entry.data(), Each.Info.Entry.size());
        };
        return Key(Left) < Key(Right);
      });
  auto Count = static_cast<size_t>(
      std::ceil(ShortShare * static_cast<double>(Lines.size())));
  for (size_t I = 0; I < Lines.size(); ++I)
    Lines[I].Short = I < Count;
}

/// The line of that kind with the least work ahead; any line if all of the
/// kind have failed.
AdviceLines::Line *AdviceLines::freeLine(bool Short, TimePoint Now) {
  bool Any = std::none_of(Lines.begin(), Lines.end(), [&](const Line &Each) {
    return Each.Short == Short && Each.RestUntil <= Now;
  });
  Line *Best = nullptr;
  for (Line &Each : Lines) {
    bool Fits = (Any || Each.Short == Short) && Each.RestUntil <= Now &&
                Each.AheadMs < RoomBelowMs;
    if (Fits && (!Best || Each.AheadMs < Best->AheadMs))
      Best = &Each;
  }
  return Best;
}

std::optional<AdviceLines::Assignment> AdviceLines::next(TimePoint Now) {
  for (bool Short : {true, false}) {
    AdviceCommand *First = nullptr;
    for (AdviceCommand &Each : Queue) {
      if (isShort(Each.ExpectedMs) == Short &&
          (!First || Each.Due < First->Due))
        First = &Each;
    }
    Line *Free = First ? freeLine(Short, Now) : nullptr;
    if (!Free)
      continue;
    Assignment Out{.Line = Free->Info.Address, .Command = std::move(*First)};
    Free->AheadMs += Out.Command.ExpectedMs;
    Queue.erase(Queue.begin() + (First - Queue.data()));
    return Out;
  }
  return std::nullopt;
}

void AdviceLines::done(std::string_view Address, double ExpectedMs, bool Failed,
                       TimePoint Now) {
  for (Line &Each : Lines) {
    if (Each.Info.Address != Address)
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
