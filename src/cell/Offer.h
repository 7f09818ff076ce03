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

/// Offers: jobs that entries send to the owner of a service, which stores them
/// with its next commit. A slow store then stores many jobs in one transaction.
namespace daisylanding::cell {

enum class OfferOutcome : uint8_t {
  Stored,
  StoredBefore,
  OtherWork, ///< The id is used for another job.
  NotOwner,  ///< Nothing was done; another entry owns the service.
  Busy,      ///< Nothing was done; too many offers wait.
  Unknown,   ///< The owner lost the service with the commit in flight.
  Expired,   ///< Nothing was done; the commit would be answered too late.
  Refused    ///< Nothing was done; the job couldn't be done in useful time.
};

using OfferDone = std::function<void(OfferOutcome)>;

struct Offer {
  JobSpec Job;
  /// The configuration by which the entry has made sure that no other service
  /// has the job; 0 if it doesn't tell, as in earlier versions.
  uint64_t SearchedVersion = 0;
  /// From delivery; the entry then stops waiting and may store the job itself.
  Millis TimeLeft{0};
  OfferDone Done;          ///< Runs on the owner's thread.
  TimePoint DeliveredAt{}; ///< To this process.
};

using OfferMailbox = MpscQueue<Offer>;

/// Mailboxes of the owners in this process, by service. Thread-safe.
class OfferRegistry {
public:
  void registerOwner(const std::string &Service,
                     std::shared_ptr<OfferMailbox> OwnerMailbox) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Mailboxes[Service] = std::move(OwnerMailbox);
  }
  /// Does nothing if another mailbox has replaced \p OwnerMailbox.
  void unregisterOwner(const std::string &Service,
                       const std::shared_ptr<OfferMailbox> &OwnerMailbox) {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Mailboxes.find(Service);
    if (Found != Mailboxes.end() && Found->second == OwnerMailbox)
      Mailboxes.erase(Found);
  }
  bool hasOwner(const std::string &Service) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Mailboxes.count(Service) > 0;
  }
  /// Passes an offer to the owner. Its `Done` may run before this returns.
  void deliver(const std::string &Service, Offer NewOffer, TimePoint Now) {
    NewOffer.DeliveredAt = Now;
    std::shared_ptr<OfferMailbox> OwnerMailbox;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      auto Found = Mailboxes.find(Service);
      if (Found != Mailboxes.end())
        OwnerMailbox = Found->second;
    }
    OfferDone Done = NewOffer.Done;
    if (!OwnerMailbox)
      Done(OfferOutcome::NotOwner);
    else if (!OwnerMailbox->push(std::move(NewOffer)))
      Done(OfferOutcome::Busy);
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::shared_ptr<OfferMailbox>> Mailboxes;
};

} // namespace daisylanding::cell

#endif
