#include "node/OwnerGauges.h"

#include <fmt/format.h>

#include <algorithm>

namespace daisylanding::node {

namespace {

/// A workspace's name as the value of a metric's label.
std::string labelValue(std::string_view Name) {
  std::string Value;
  for (char C : Name) {
    bool IsPlain = C != '"' && C != '\\' && C != '\n';
    Value += IsPlain ? C : '_';
  }
  return Value;
}

} // namespace

std::string serviceSeries(std::string_view Metric, std::string_view Service) {
  return fmt::format("{}{{service=\"{}\"}}", Metric, Service);
}

std::string OwnerGauges::workspaceSeries(std::string_view Metric,
                                         std::string_view Workspace) const {
  return fmt::format("{}{{service=\"{}\",workspace=\"{}\"}}", Metric, Service,
                     labelValue(Workspace));
}

std::vector<Gauge> OwnerGauges::make(const OwnerFigures &Figures) {
  std::vector<Gauge> Gauges;
  if (Figures.State.Loading)
    return Gauges;
  auto Add = [&](std::string_view Metric, uint64_t Value) {
    Gauges.push_back({.Name = serviceSeries(Metric, Service),
                      .Value = static_cast<double>(Value)});
  };
  const cell::OwnerCounts &Counts = Figures.Counts;
  Add("starts", Counts.Starts);
  Add("ends_done", Counts.EndsDone);
  Add("ends_failed", Counts.EndsFailed);
  Add("ends_other", Counts.EndsOther);
  Add("ticket_refusals", Counts.TicketRefusals);
  Add("room_refusals", Counts.CapacityRefusals);
  Add("lapses", Counts.ExpiredRuns);
  Add("executor_restarts", Counts.Restarts);
  Add("long_leases", Counts.LongLeases);
  Add("stragglers", Counts.Stragglers);
  Add("place_waits", Counts.PlaceWaits);
  Add("place_wait_hits", Counts.PlaceWaitHits);
  Add("jobs_completed", Counts.JobsCompleted);
  Add("jobs_failed", Counts.JobsFailed);
  Add("jobs_cancelled", Counts.JobsCancelled);
  Add("live_jobs", Figures.State.LiveJobs);
  Add("feed_skipped", Figures.FeedSkipped);
  Add("advice_waiting", Figures.AdviceWaiting);
  addWorkspaces(Figures.State.Workspaces, Gauges);
  return Gauges;
}

/// A workspace that once had gauges keeps them, so that there are only so
/// many. One that the owner doesn't tell of is idle, unless the owner told of
/// as many as it may.
void OwnerGauges::addWorkspaces(
    const std::vector<cell::WorkspaceStatus> &Statuses,
    std::vector<Gauge> &Gauges) {
  for (const cell::WorkspaceStatus &Status : Statuses) {
    if (LabeledWorkspaces.size() < cell::MaxReportedWorkspaces)
      LabeledWorkspaces.insert(Status.Name);
  }
  bool MayLackBusyOnes = Statuses.size() >= cell::MaxReportedWorkspaces;
  for (const std::string &Name : LabeledWorkspaces) {
    auto Found =
        std::find_if(Statuses.begin(), Statuses.end(),
                     [&](const auto &Status) { return Status.Name == Name; });
    bool IsTold = Found != Statuses.end();
    if (!IsTold && MayLackBusyOnes)
      continue;
    cell::WorkspaceStatus Status = IsTold ? *Found : cell::WorkspaceStatus{};
    auto Add = [&](std::string_view Metric, double Value) {
      Gauges.push_back({.Name = workspaceSeries(Metric, Name), .Value = Value});
    };
    Add("workspace_used_share", Status.UsedShare);
    Add("workspace_fair_share", Status.FairShare);
    Add("workspace_waiting_steps", static_cast<double>(Status.WaitingSteps));
    Add("workspace_refused", static_cast<double>(Status.Refused));
  }
}

} // namespace daisylanding::node
