#ifndef DAISYLANDING_NODE_OWNERGAUGES_H
#define DAISYLANDING_NODE_OWNERGAUGES_H

#include "cell/OwnerStatus.h"
#include "common/Metrics.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::node {

/// Name and labels of a time series of one service.
std::string serviceSeries(std::string_view Metric, std::string_view Service);

/// What the gauges of one service are made of.
struct OwnerFigures {
  const cell::OwnerCounts &Counts;
  const cell::OwnerStatus &State;
  size_t FeedSkipped = 0;   ///< Changes of the instance list.
  size_t AdviceWaiting = 0; ///< Calls.
};

/// The gauges of one service, made by its owner.
class OwnerGauges {
public:
  explicit OwnerGauges(std::string Service) : Service(std::move(Service)) {}

  /// None while the stored jobs are being read.
  std::vector<Gauge> make(const OwnerFigures &Figures);

private:
  std::string workspaceSeries(std::string_view Metric,
                              std::string_view Workspace) const;
  void addWorkspaces(const std::vector<cell::WorkspaceStatus> &Statuses,
                     std::vector<Gauge> &Gauges);

  std::string Service;
  std::set<std::string> LabeledWorkspaces; ///< With gauges of their own.
};

} // namespace daisylanding::node

#endif
