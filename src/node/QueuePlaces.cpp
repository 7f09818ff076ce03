#include "node/QueuePlaces.h"

#include <algorithm>

namespace daisylanding::node {

namespace {

/// The known configuration of that version; null if there is none.
const cell::CellConfig *findVersion(ConfigHistory History, uint64_t Version) {
  for (const auto &Known : History) {
    if (Known->Version == Version)
      return Known.get();
  }
  return nullptr;
}

/// The known configurations from version \p First on, before \p End.
template <typename Function>
bool anyBetween(ConfigHistory History, uint64_t First, uint64_t End,
                Function Matches) {
  return std::any_of(History.begin(), History.end(), [&](const auto &Known) {
    return Known->Version >= First && Known->Version < End && Matches(*Known);
  });
}

bool isServedBy(const cell::CellConfig &Config, const std::string &QueueName,
                const std::string &Service) {
  const cell::Queue *Found = Config.findQueue(QueueName);
  return Found && Found->Service == Service;
}

PlaceCheck searchIfHeld(const QueueView &View,
                        const cell::QueueStatement &Stated) {
  return Stated.mayHold(View.Queue.Name) ? PlaceCheck::Search
                                         : PlaceCheck::None;
}

} // namespace

PlaceCheck checkOtherService(const QueueView &View, const std::string &Service,
                             const cell::QueueStatement &Stated) {
  if (Stated.ConfigVersion == View.ConfigVersion)
    return searchIfHeld(View, Stated);
  // What is stated by a newer version doesn't tell of queues that this one
  // sends elsewhere.
  if (Stated.ConfigVersion == 0 || Stated.ConfigVersion > View.ConfigVersion)
    return PlaceCheck::Search;
  const std::string &Name = View.Queue.Name;
  const cell::CellConfig *Older =
      findVersion(View.History, Stated.ConfigVersion);
  bool MayServeIt =
      !Older || anyBetween(View.History, Stated.ConfigVersion,
                           View.ConfigVersion, [&](const auto &Known) {
                             return isServedBy(Known, Name, Service);
                           });
  if (MayServeIt)
    return PlaceCheck::AwaitStatement;
  if (!Older->findQueue(Name))
    return PlaceCheck::Search;
  return searchIfHeld(View, Stated);
}

PlaceCheck checkOwnService(const QueueView &View,
                           const cell::QueueStatement &Stated) {
  if (Stated.ConfigVersion >= View.ConfigVersion)
    return PlaceCheck::None;
  const cell::CellConfig *Older =
      findVersion(View.History, Stated.ConfigVersion);
  const cell::Queue *Before =
      Older ? Older->findQueue(View.Queue.Name) : nullptr;
  bool IsRefused = Before && Before->Service != View.Queue.Service;
  return IsRefused ? PlaceCheck::AwaitStatement : PlaceCheck::None;
}

bool mayStore(const QueueView &View, uint64_t StatedVersion) {
  if (StatedVersion == 0 || StatedVersion == View.ConfigVersion)
    return true;
  if (StatedVersion > View.ConfigVersion ||
      !findVersion(View.History, StatedVersion))
    return false;
  return !anyBetween(
      View.History, StatedVersion, View.ConfigVersion, [&](const auto &Known) {
        return !isServedBy(Known, View.Queue.Name, View.Queue.Service);
      });
}

} // namespace daisylanding::node
