#include "cell/RoomForecast.h"

#include <algorithm>
#include <iterator>

namespace daisylanding::cell {

size_t RoomForecast::spanAt(Millis At) {
  auto After = std::upper_bound(
      Spans.begin(), Spans.end(), At,
      [](Millis Time, const Span &Other) { return Time < Other.Begin; });
  auto Before = std::prev(After);
  if (Before->Begin == At)
    return static_cast<size_t>(std::distance(Spans.begin(), Before));
  Span Added{.Begin = At, .Free = Before->Free};
  auto Inserted = Spans.insert(After, Added);
  return static_cast<size_t>(std::distance(Spans.begin(), Inserted));
}

void RoomForecast::addRelease(Millis At, const Resources &Released) {
  for (size_t I = spanAt(At); I < Spans.size(); ++I)
    Spans[I].Free += Released;
}

bool RoomForecast::fitsFrom(size_t First, const RoomRequest &Request) const {
  Millis End = Spans[First].Begin + Request.RunTime;
  for (size_t I = First; I < Spans.size() && Spans[I].Begin < End; ++I) {
    if (!Request.Demand.fitsIn(Spans[I].Free))
      return false;
  }
  return true;
}

std::optional<Millis>
RoomForecast::earliestStart(const RoomRequest &Request) const {
  for (size_t I = 0; I < Spans.size() && Spans[I].Begin <= Request.LatestStart;
       ++I) {
    if (fitsFrom(I, Request))
      return Spans[I].Begin;
  }
  return std::nullopt;
}

void RoomForecast::take(Millis Start, Millis RunTime, const Resources &Demand) {
  size_t First = spanAt(Start);
  size_t Last = spanAt(Start + RunTime);
  for (size_t I = First; I < Last; ++I)
    Spans[I].Free -= Demand;
}

} // namespace daisylanding::cell
