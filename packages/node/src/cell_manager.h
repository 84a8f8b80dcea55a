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

// Key of `cell` in the ownership map.
std::string CellKey(const CellId& cell);

// Runs a CellScheduler for each cell that this member owns and connects the scheduler to the log
// and the workers. Not thread-safe.
class CellManager {
 public:
  CellManager(MemberId self, const CellOptions& options, Random random);

  // Acquires and releases cells according to `view`. Must also be called when an ownership may have
  // begun.
  void UpdateOwnership(Now now, const LogState& state, const MembershipView& view);

  // Releases all cells. UpdateOwnership must not be called afterwards.
  void Stop(Now now);

  // Must be called when the configuration in force has changed.
  void OnConfiguration(Now now, const LogState& state);
  void OnJobsChanged(Now now, const LogState& state, const std::vector<JobUpdate>& updates);
  void SetAuthority(Now now, Time valid_until);

  // Return false if the call was not issued by this object.
  bool OnWorkerAnswered(Now now, const node_event::WorkerAnswered& answer);
  bool OnWorkerFailed(Now now, WorkerCallToken token);
  void OnTimer(Now now);

  std::vector<node_effect::CallWorker> TakeCalls();

  // Returns the job events since the last call, which the caller must append to the log.
  std::vector<JobUpdate> TakeUpdates();

  // Evidence that no task of `customer` runs in `cell`; empty if there is none yet. Evidence is
  // valid only from `epoch` on; if the cell is owned under an older epoch, its workers are queried
  // again first.
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
    // Cancelled jobs whose end has not been passed to TakeUpdates yet.
    std::set<JobId> cancelled_jobs;
  };

  struct PendingCall {
    CellId cell;
    CommandId command;
    WorkerId worker;
    bool reads_state = false;
  };

  void StartCell(Now now, const CellId& cell, const LogState& state, Epoch epoch);
  // Passes the configuration and the recorded state of the cell's jobs to its scheduler.
  void LoadConfiguration(Now now, const CellId& cell, OwnedCell& owned, const LogState& state);
  void AssignNewJobs(const LogState& state);
  void AdmitJob(Now now, OwnedCell& owned, const Job& job, const LogState& state);
  void ApplyJobState(Now now, OwnedCell& owned, const JobId& job, const LogState& state);
  void FinishCancelledJobs(const CellId& cell, OwnedCell& owned);
  void CollectEffects(const CellId& cell, OwnedCell& owned);
  void AddWorkerCall(const CellId& cell, const WorkerCommand& command);
  OwnedCell* FindCell(const CellId& cell);

  MemberId self_;
  CellOptions options_;
  Random random_;
  Time authority_until_{};
  std::map<CellId, OwnedCell> cells_;
  std::map<WorkerId, std::string> worker_addresses_;
  std::map<WorkerCallToken, PendingCall> pending_calls_;
  std::uint64_t last_token_ = 0;
  std::vector<node_effect::CallWorker> outgoing_calls_;
  std::vector<JobUpdate> job_updates_;
  // Jobs whose assignment to a cell has been issued but is not in the log yet.
  std::set<JobId> pending_assignments_;
  Counters counters_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_CELL_MANAGER_H_
