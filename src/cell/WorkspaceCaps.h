#ifndef DAISYLANDING_CELL_WORKSPACECAPS_H
#define DAISYLANDING_CELL_WORKSPACECAPS_H

#include "cell/CapRow.h"
#include "cell/CapShares.h"
#include "cell/CellConfig.h"
#include "common/Resources.h"
#include "common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::cell {

/// Which part of a right may be used for a start.
enum class CapUse : uint8_t {
  NotOwed,   ///< What others can't claim as their fair part.
  WholeRight ///< For tasks that ran before, and have to run again.
};

/// A grant that an owner has decided on, for the log.
struct CapGrant {
  std::string Workspace;
  std::string Service; ///< That it goes to.
  CapParts Parts{};
  CapParts RightLeft{};
};

/// What the tasks of each workspace use on the executors of one service, and
/// how much more they may use: the part of the workspace's cap that the service
/// has the right to. No I/O; used by the owner's thread.
///
/// Rights move by grants, which stand in the giver's row (`CapRow`). A grant
/// lowers the giver's right when it is decided, and raises the other's once
/// that one has read it, so the rights that owners go by never add up to more
/// than the cap.
class WorkspaceCaps {
public:
  explicit WorkspaceCaps(std::string Service) : Service(std::move(Service)) {}

  /// A workspace that is no longer configured keeps its last cap: its accepted
  /// jobs still have to be done.
  void setConfig(const CellConfig &Config);

  /// Counts capacity from a task's placement until its run is over. \p Name is
  /// empty for jobs without a workspace, which have no cap.
  void reserve(std::string_view Name, const Resources &Size);
  void release(std::string_view Name, const Resources &Size);
  Resources used(std::string_view Name) const;

  /// How many more tasks of \p Size the workspace may start now, at most
  /// \p MaxPlaces.
  uint32_t placesFor(std::string_view Name, const Resources &Size,
                     uint32_t MaxPlaces, CapUse Use = CapUse::NotOwed) const;
  /// What the service may use for the workspace now, in the resources that have
  /// a limit.
  Resources allowance(std::string_view Name) const;
  Resources capOf(std::string_view Name) const;

  /// Whether a workspace has a cap that several services share. Their rows are
  /// to be read then.
  bool isShared() const { return Shared; }
  /// Takes over the service's own row, as read after the service was acquired;
  /// none if there is no row. Nothing starts for a workspace with a shared cap
  /// before that.
  void restore(const std::optional<CapRow> &Own);
  bool restored() const { return Restored; }
  /// Takes note of the row of another service. Older ones than those known are
  /// ignored.
  void addRow(const std::string &From, const CapRow &Row, uint64_t Version);

  /// A planning turn: what the ready steps wait for, the most urgent first.
  /// \p Count is 1 for a gang, which counts as one task.
  void beginTurn();
  void noteWanted(std::string_view Name, const Resources &Size, uint32_t Count);
  /// Decides what is granted and stated.
  std::vector<CapGrant> endTurn(TimePoint Now);

  /// Whether the row differs from the one that was written last.
  bool isRowDue() const {
    return Shared && Restored && IsStated && Revision != Written;
  }
  uint64_t revision() const { return Revision; }
  CapRow row();
  /// The row of that revision, or a later one, is stored.
  void noteWritten(uint64_t WrittenRevision) {
    Written = WrittenRevision;
    HasRow = true;
  }
  /// Workspaces whose demand the row has no room for. They get no grants.
  size_t leftOutCount() const { return LeftOut; }

private:
  struct WorkspaceState {
    Resources Used;
    PerResource<uint32_t> Cap{};
    bool HasCap = false;
    bool IsConfigured = false; ///< Now or before.
    /// The highest caps before the last lowering, as far as other owners may
    /// still go by them; unknown to an owner that has just begun.
    PerResource<uint32_t> CapBefore{};
    bool IsBeforeKnown = false;
    uint64_t LoweredAt = 0; ///< Configuration version.

    PerResource<std::vector<int64_t>> Rights; ///< By service.
    CapParts OwnRight{};
    CapParts BeyondElsewhere{}; ///< What others use beyond their rights.
    bool IsWantedElsewhere = false;
    CapParts Owed{};
    CapStatement Own;
    TimePoint StatedAt{};

    PerResource<uint64_t> Waiting{}; ///< Of the present turn.
    PerResource<uint64_t> Needed{};
    PerResource<uint64_t> Width{};
    bool IsHeld = false; ///< A step of this turn waits for the cap.
    /// Of accelerators, which are few, once the service has wanted them.
    PerResource<bool> KeepsReserve{true, true, false};
  };
  struct OtherRow {
    CapRow Row;
    uint64_t Version = 0;
  };

  const WorkspaceState *find(std::string_view Name) const;
  WorkspaceState &stateOf(std::string_view Name);
  bool isLowered(const WorkspaceState &State, const Resources &Cap) const;
  void noteLowered(WorkspaceState &State, const Resources &Cap) const;
  bool setServices(const CellConfig &Config);
  std::optional<size_t> indexOf(std::string_view Name) const;
  void addGrants(WorkspaceState &State, size_t From,
                 const CapStatement &Statement) const;
  void refreshRights(std::string_view Name, WorkspaceState &State) const;
  bool isReady() const { return !Shared || (Restored && HasRow); }
  bool isLoweringKnown(const WorkspaceState &State) const;
  uint64_t allowanceIn(const WorkspaceState &State, size_t Index,
                       CapUse Use) const;
  std::vector<CapClaim> claimsOf(std::string_view Name,
                                 const WorkspaceState &State,
                                 size_t Index) const;
  void decide(const std::string &Name, WorkspaceState &State,
              std::vector<CapGrant> &Decided);
  bool hasRoomForGrant(const WorkspaceState &State, std::string_view Name,
                       const std::string &To) const;
  void restate(WorkspaceState &State, TimePoint Now);

  std::string Service;
  std::map<std::string, WorkspaceState, std::less<>> States;
  std::vector<std::string> Services; ///< Sorted; with its own.
  size_t Self = 0;                   ///< Of `Services`.
  std::map<std::string, OtherRow, std::less<>> Others;
  uint64_t ConfigVersion = 0;
  bool Shared = false;
  bool Restored = false;
  bool HasRow = false; ///< Others take a service without one for unused.
  /// A turn has ended since the configuration changed, so that what is used
  /// beyond the rights is known by it.
  bool IsStated = false;
  uint64_t Revision = 1;
  uint64_t Written = 0;
  size_t LeftOut = 0;
  size_t GrantBytes = 0;      ///< Of the row, at most.
  uint64_t StatedVersion = 0; ///< Of the configuration, in the row.
};

} // namespace daisylanding::cell

#endif
