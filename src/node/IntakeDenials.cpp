#include "node/IntakeLoop.h"

#include "common/Log.h"

/// Requests that the entry would deny by the configuration that it read last.
namespace daisylanding::node {

/// Refuses the request if a queue, a service or a key may have been added since
/// the configuration was confirmed: then nothing is known to deny it by. The
/// time of arrival counts, as looking for a job takes time of its own.
void IntakeLoop::denyByConfig(const RequestPtr &Request, uint16_t Status,
                              std::string_view Reason) {
  TimePoint ConfirmedAt = Request->ConfigConfirmedAt;
  Millis Limit = Context.Options.MaxConfigDelay;
  if (isConfigConfirmed(ConfirmedAt, Limit, Request->ArrivedAt)) {
    answer(Request, Status, "{}", Reason);
    return;
  }
  Context.EntryMetrics.count("denials_by_unconfirmed_config");
  uint64_t Dropped = 0;
  if (OutdatedConfigLog.admit(monotonicNow(), Dropped))
    logWarn("config-unconfirmed",
            "version={} confirmed_ms_ago={} limit_ms={} would_deny={} "
            "lines_dropped={}",
            Request->Config->Version,
            toMillis(Request->ArrivedAt - ConfirmedAt), Limit.count(), Reason,
            Dropped);
  refuse(Request, "config-unconfirmed");
}

} // namespace daisylanding::node
