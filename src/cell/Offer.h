#ifndef DAISYLANDING_CELL_OFFER_H
#define DAISYLANDING_CELL_OFFER_H

#include "cell/JobSpec.h"
#include "common/Error.h"
#include "common/Ring.h"
#include "common/Time.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

/// Jobs that entries hand to the owner of a service, to be stored with its
/// next commit: a slow store then takes them all in one transaction.
namespace daisylanding::cell {

enum class Verdict : uint8_t {
  Stored,
  StoredBefore,
  OtherWork, ///< The id is used for another job.
  NotOwner,  ///< Nothing was done; another entry owns the service.
  Busy,      ///< Nothing was done; too many jobs wait.
  Unknown,   ///< The owner lost the service with the job on its way.
  Expired    ///< Nothing was done; it could not have been told in time.
};

using VerdictDone = std::function<void(Verdict)>;

struct Offer {
  JobSpec Job;
  Millis Within{0}; ///< Of being handed over; then nobody waits for it.
  VerdictDone Done; ///< Runs on the owner's thread.
};

using OfferBox = MpscQueue<Offer>;

/// Where the owners that live in this process take offers.
class OfferDesk {
public:
  void open(const std::string &Service, std::shared_ptr<OfferBox> Box) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Boxes[Service] = std::move(Box);
  }
  /// Only if \p Box is still the service's.
  void close(const std::string &Service, const std::shared_ptr<OfferBox> &Box) {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Boxes.find(Service);
    if (Found != Boxes.end() && Found->second == Box)
      Boxes.erase(Found);
  }
  bool owns(const std::string &Service) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Boxes.count(Service) > 0;
  }
  /// Callable from any thread. Its `Done` may run before this returns.
  void hand(const std::string &Service, Offer What) {
    std::shared_ptr<OfferBox> Box;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      auto Found = Boxes.find(Service);
      if (Found != Boxes.end())
        Box = Found->second;
    }
    VerdictDone Done = What.Done;
    if (!Box)
      Done(Verdict::NotOwner);
    else if (!Box->push(std::move(What)))
      Done(Verdict::Busy);
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::shared_ptr<OfferBox>> Boxes;
};

} // namespace daisylanding::cell

#endif
