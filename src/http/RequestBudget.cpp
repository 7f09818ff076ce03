#include "http/RequestBudget.h"

#include <algorithm>

namespace daisylanding::http {

namespace {

/// What may wait unread in the socket of a connection that is not read from.
constexpr size_t SocketBufferBytes = 65'536;

/// A round of evictions leaves this part of a limit free, so that the next
/// bytes don't need another one.
constexpr size_t FreedPart = 8;

} // namespace

std::string_view overrunName(Overrun Reason) {
  switch (Reason) {
  case Overrun::RequestBytes:
    return "request-bytes";
  case Overrun::ConnectionBytes:
    return "connection-bytes";
  case Overrun::AddressBytes:
    return "address-bytes";
  case Overrun::Connections:
    return "connections";
  case Overrun::AddressConnections:
    return "address-connections";
  case Overrun::Descriptors:
    return "descriptors";
  case Overrun::UnsentBytes:
    return "unsent-bytes";
  }
  return "unknown";
}

std::vector<RequestBudget::Eviction>
RequestBudget::open(ConnectionId Id, std::string_view Address,
                    bool FewDescriptorsLeft, TimePoint Now) {
  Uses[Id] = {.Address = std::string(Address), .Since = Now};
  ++OpenConnections;
  AddressUse &OfAddress = Addresses[std::string(Address)];
  ++OfAddress.Connections;
  std::vector<Eviction> Evicted;
  if (Limits.MaxAddressConnections > 0 &&
      OfAddress.Connections > Limits.MaxAddressConnections)
    evictOldest(Id, true, Overrun::AddressConnections, Evicted);
  else if (OpenConnections > Limits.MaxConnections)
    evictOldest(Id, false, Overrun::Connections, Evicted);
  else if (FewDescriptorsLeft)
    evictOldest(Id, false, Overrun::Descriptors, Evicted);
  return Evicted;
}

std::vector<RequestBudget::Eviction>
RequestBudget::receive(ConnectionId Id, const Received &Read, TimePoint Now) {
  std::vector<Eviction> Evicted;
  auto Found = Uses.find(Id);
  if (Found == Uses.end() || Found->second.Closing)
    return Evicted;
  Use &Holder = Found->second;
  size_t Before = bytesOf(Holder);
  Holder.PartialBytes = Read.PartialBytes;
  Holder.Since = Read.Since;
  Holder.OpenRequests += Read.WholeBytes.size();
  for (size_t Bytes : Read.WholeBytes)
    Holder.WholeBytes += Bytes;
  addBytes(Holder, Before);
  if (bytesOf(Holder) > Limits.MaxConnectionBytes) {
    evict(Found, Overrun::ConnectionBytes, Evicted);
    return Evicted;
  }
  size_t OfAddress = Addresses[Holder.Address].Bytes;
  if (Limits.MaxAddressBytes > 0 && OfAddress > Limits.MaxAddressBytes)
    evictCostliest(&Holder.Address, Limits.MaxAddressBytes,
                   Overrun::AddressBytes, Now, Evicted);
  if (TotalBytes > Limits.MaxRequestBytes)
    evictCostliest(nullptr, Limits.MaxRequestBytes, Overrun::RequestBytes, Now,
                   Evicted);
  // Whole requests fill the budget: this one comes last.
  bool IsFull = TotalBytes > Limits.MaxRequestBytes;
  bool IsAddressFull = Limits.MaxAddressBytes > 0 &&
                       Addresses[Holder.Address].Bytes > Limits.MaxAddressBytes;
  if (!Holder.Closing && (IsFull || IsAddressFull))
    evict(Found, IsFull ? Overrun::RequestBytes : Overrun::AddressBytes,
          Evicted);
  return Evicted;
}

void RequestBudget::recordAnswer(ConnectionId Id) {
  auto Found = Uses.find(Id);
  if (Found == Uses.end())
    return;
  size_t Before = bytesOf(Found->second);
  Found->second.OpenRequests -= std::min<size_t>(Found->second.OpenRequests, 1);
  addBytes(Found->second, Before);
}

void RequestBudget::release(ConnectionId Id, size_t Bytes) {
  auto Found = Uses.find(Id);
  if (Found == Uses.end())
    return;
  Use &Holder = Found->second;
  size_t Before = bytesOf(Holder);
  Holder.WholeBytes -= std::min(Holder.WholeBytes, Bytes);
  addBytes(Holder, Before);
  forgetIfUnused(Found);
}

void RequestBudget::close(ConnectionId Id) {
  auto Found = Uses.find(Id);
  if (Found == Uses.end())
    return;
  std::vector<Eviction> Ignored;
  if (!Found->second.Closing)
    evict(Found, Overrun::Connections, Ignored);
  Found->second.Closed = true;
  forgetIfUnused(Found);
}

/// What closing the connection frees.
size_t RequestBudget::evictableBytes(const Use &Holder) const {
  if (Holder.Closing)
    return 0;
  bool IsHeldBack = Holder.OpenRequests >= Limits.MaxOpenRequests;
  return Holder.PartialBytes + (IsHeldBack ? SocketBufferBytes : 0);
}

size_t RequestBudget::bytesOf(const Use &Holder) const {
  return Holder.WholeBytes + evictableBytes(Holder);
}

/// Adds to the sums what the connection holds beyond \p Before.
void RequestBudget::addBytes(const Use &Holder, size_t Before) {
  size_t Bytes = bytesOf(Holder);
  AddressUse &OfAddress = Addresses[Holder.Address];
  TotalBytes = TotalBytes + Bytes - Before;
  OfAddress.Bytes = OfAddress.Bytes + Bytes - Before;
}

void RequestBudget::evict(UseMap::iterator Victim, Overrun Reason,
                          std::vector<Eviction> &Evicted) {
  Use &Holder = Victim->second;
  size_t Before = bytesOf(Holder);
  Holder.Closing = true;
  addBytes(Holder, Before);
  --OpenConnections;
  --Addresses[Holder.Address].Connections;
  Evicted.push_back({.Connection = Victim->first, .Reason = Reason});
}

/// Evicts the connection that has been idle, or in one request, for longest;
/// the new one if requests of all others were read whole.
void RequestBudget::evictOldest(ConnectionId New, bool SameAddress,
                                Overrun Reason,
                                std::vector<Eviction> &Evicted) {
  auto NewUse = Uses.find(New);
  auto Oldest = NewUse;
  for (auto It = Uses.begin(); It != Uses.end(); ++It) {
    const Use &Holder = It->second;
    bool MayClose = !Holder.Closing && Holder.OpenRequests == 0 &&
                    (!SameAddress || Holder.Address == NewUse->second.Address);
    if (MayClose && Holder.Since < Oldest->second.Since)
      Oldest = It;
  }
  evict(Oldest, Reason, Evicted);
}

/// Evicts connections, of one address or of all, until its or all bytes are
/// below \p Bytes; those that hold most for longest first.
void RequestBudget::evictCostliest(const std::string *Address, size_t Bytes,
                                   Overrun Reason, TimePoint Now,
                                   std::vector<Eviction> &Evicted) {
  struct Candidate {
    double Cost = 0; ///< Byte milliseconds.
    UseMap::iterator Holder;
  };
  std::vector<Candidate> Candidates;
  for (auto It = Uses.begin(); It != Uses.end(); ++It) {
    size_t Freed = evictableBytes(It->second);
    if (Freed == 0 || (Address && It->second.Address != *Address))
      continue;
    double AgeMs = 1.0 + static_cast<double>(toMillis(Now - It->second.Since));
    Candidates.push_back({static_cast<double>(Freed) * AgeMs, It});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.Cost > Right.Cost;
            });
  size_t Target = Bytes - Bytes / FreedPart;
  for (const Candidate &Next : Candidates) {
    size_t Held = Address ? Addresses[*Address].Bytes : TotalBytes;
    if (Held <= Target)
      return;
    evict(Next.Holder, Reason, Evicted);
  }
}

void RequestBudget::forgetIfUnused(UseMap::iterator Holder) {
  if (!Holder->second.Closed || Holder->second.WholeBytes > 0)
    return;
  auto OfAddress = Addresses.find(Holder->second.Address);
  if (OfAddress->second.Bytes == 0 && OfAddress->second.Connections == 0)
    Addresses.erase(OfAddress);
  Uses.erase(Holder);
}

} // namespace daisylanding::http
