#ifndef DAISYLANDING_ENTRY_CONTEXT_H
#define DAISYLANDING_ENTRY_CONTEXT_H

#include "common/EventLog.h"
#include "common/Metrics.h"
#include "config/Settings.h"
#include "entry/View.h"
#include "table/HttpPlatform.h"
#include "table/WriteBudget.h"

#include <atomic>
#include <memory>

namespace daisylanding::entry {

/// What all loops of one entry process share.
struct Context {
  Context(config::Settings Options, std::string Incarnation)
      : Options(std::move(Options)), Incarnation(std::move(Incarnation)),
        Budget(this->Options.WritesPerSecond),
        Events(this->Options.Name, EventCapacity) {}

  config::Settings Options;
  std::string Incarnation;
  table::WriteBudget Budget;
  EventLog Events;
  Metrics Numbers;
  ViewBox Views;
  DigestBox Digests;
  std::atomic<bool> Draining{false};

  std::string holder() const { return Options.Name + "/" + Incarnation; }

  /// A platform client for the calling thread's own use.
  std::unique_ptr<table::HttpPlatform>
  connectPlatform(table::WritePriority Priority = table::WritePriority::Bulk) {
    return std::make_unique<table::HttpPlatform>(
        table::HttpPlatformOptions{.Url = Options.PlatformUrl,
                                   .AvailabilityZone = Options.AvailabilityZone,
                                   .Timeout = Options.PlatformTimeout,
                                   .Priority = Priority},
        Budget);
  }

  static constexpr size_t EventCapacity = 20'000;
};

} // namespace daisylanding::entry

#endif
