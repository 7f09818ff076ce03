#ifndef DAISYLANDING_ENTRY_ENTRYCONTEXT_H
#define DAISYLANDING_ENTRY_ENTRYCONTEXT_H

#include "common/EventLog.h"
#include "common/Metrics.h"
#include "config/Settings.h"
#include "entry/ClusterView.h"
#include "table/HttpPlatform.h"
#include "table/WriteBudget.h"

#include <atomic>
#include <memory>

namespace daisylanding::entry {

/// State shared by all loops of an entry process.
struct EntryContext {
  EntryContext(config::Settings Options, std::string Incarnation)
      : Options(std::move(Options)), Incarnation(std::move(Incarnation)),
        WriteBudget(this->Options.WritesPerSecond),
        Events(this->Options.Name, EventCapacity) {}

  config::Settings Options;
  std::string Incarnation;
  table::WriteBudget WriteBudget;
  EventLog Events;
  Metrics ProcessMetrics;
  ViewStore Views;
  LoadDigestStore LoadDigests;
  std::atomic<bool> Draining{false};

  std::string holderName() const { return Options.Name + "/" + Incarnation; }

  /// Returns a platform client for the calling thread's exclusive use.
  std::unique_ptr<table::HttpPlatform>
  connectPlatform(table::WritePriority Priority = table::WritePriority::Bulk) {
    return std::make_unique<table::HttpPlatform>(
        table::HttpPlatformOptions{.Url = Options.PlatformUrl,
                                   .AvailabilityZone = Options.AvailabilityZone,
                                   .Timeout = Options.PlatformTimeout,
                                   .Priority = Priority},
        WriteBudget);
  }

  static constexpr size_t EventCapacity = 20'000;
};

} // namespace daisylanding::entry

#endif
