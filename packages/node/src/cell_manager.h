#ifndef CACTUSSHELF_NODE_CELL_MANAGER_H_
#define CACTUSSHELF_NODE_CELL_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/random.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/node/node_effect.h"
#include "cactusshelf/node/node_event.h"
#include "cactusshelf/placement/cell_scheduler.h"
#include "cactusshelf/version/log_state.h"
#include "membership_view.h"

namespace cactusshelf {

// Key under which a cell is owned.
std::string CellKey(const CellId& cell);

// Runs a CellScheduler for each cell that this member owns, and connects it to the log and to the
// workers. Not thread-safe.
class CellManager {
 public:
  CellManager(MemberId self, const CellOptions& options, Random random);

  // Takes or gives up cells according to `view`. Also to be called when tenures may have begun.
  void UpdateOwnership(Now now, const LogState& state, const MembershipView& view);

  // Gives up all cells for good.
  void Stop(Now now);

  // The configuration in force changed.
  void OnConfiguration(Now now, const LogState& state);
  void OnJobs(Now now, const LogState& state, const std::vector<JobUpdate>& updates);
  void SetAuthority(Now now, Time valid_until);

  // False if the call is not one of this object's.
  bool OnWorkerAnswered(Now now, const node_event::WorkerAnswered& answer);
  bool OnWorkerFailed(Now now, WorkerCallToken token);
  void OnTimer(Now now);

  std::vector<node_effect::CallWorker> TakeCalls();

  // Job events to be recorded in the log since the last call.
  std::vector<JobUpdate> TakeUpdates();

  // Evidence that no task of `customer` runs in `cell`, if that is so. `epoch` is the least epoch
  // under which the evidence counts; a cell owned under an older one is visited again first.
  std::optional<Attest::Cell> CellEvidence(Now now, const CellId& cell, const CustomerId& customer,
                                           Epoch epoch, const MembershipView& view);

  std::optional<Time> NextWakeup() const;
  void MergeCounters(Counters& counters) const;

  struct CellStatus {
    CellId cell;
    Epoch epoch = 0;
    bool recovering = false;
    std::uint64_t waiting_jobs = 0;
    std::size_t unvisited_workers = 0;
  };
  std::vector<CellStatus> Status() const;

 private:
  struct OwnedCell {
    CellScheduler scheduler;
    Epoch epoch = 0;
    // Cancelled jobs whose end is not recorded yet.
    std::set<JobId> closing;
  };

  struct Call {
    CellId cell;
    CommandId command;
    WorkerId worker;
    bool reads_state = false;
  };

  void Take(Now now, const CellId& cell, const LogState& state, Epoch epoch);
  // Hands the configuration and the recorded state of its jobs to the scheduler of a cell.
  void LoadConfiguration(Now now, const CellId& cell, OwnedCell& owned, const LogState& state);
  void AssignNewJobs(const LogState& state);
  void Admit(Now now, OwnedCell& owned, const Job& job, const LogState& state);
  void ApplyJobState(Now now, OwnedCell& owned, const JobId& job, const LogState& state);
  void RecordClosedJobs(const CellId& cell, OwnedCell& owned);
  void CollectEffects(const CellId& cell, OwnedCell& owned);
  void AddCall(const CellId& cell, const WorkerCommand& command);
  OwnedCell* FindCell(const CellId& cell);

  MemberId self_;
  CellOptions options_;
  Random random_;
  Time authority_until_{};
  std::map<CellId, OwnedCell> cells_;
  std::map<WorkerId, std::string> addresses_;
  std::map<WorkerCallToken, Call> calls_;
  std::uint64_t last_token_ = 0;
  std::vector<node_effect::CallWorker> outgoing_;
  std::vector<JobUpdate> updates_;
  // Jobs whose assignment was handed out and is not in the log yet.
  std::set<JobId> assigning_;
  Counters counters_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_CELL_MANAGER_H_
