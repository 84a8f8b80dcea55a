#ifndef CACTUSSHELF_JOBS_SRC_JOB_CELL_H_
#define CACTUSSHELF_JOBS_SRC_JOB_CELL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/jobs/job_node.h"
#include "job_request_handler.h"
#include "owner_election.h"
#include "scheduler.h"
#include "stream_follower.h"

namespace cactusshelf::jobs {

// What the cells of one node share.
struct NodeState {
  QueueTable queues;
  bool draining = false;
  int owned_cells = 0;
  int cell_count = 1;
  // Entry hosts by name, as announced.
  const std::map<std::string, HostRecord>* hosts = nullptr;
};

// One process's part in one cell: a share of the jobs, with a log of their own, and of the workers.
// Follows the cell's log, answers callers about its jobs, and, while it is the cell's owner,
// schedules them. Not thread-safe.
class JobCell {
 public:
  JobCell(int index, const JobNodeOptions& options, std::uint64_t seed);

  // `state` is that of the node. What is to be done is collected for TakeEffects.
  void Advance(const NodeState& state, const Now& now);
  std::vector<JobEffect> TakeEffects();

  void OnRead(job_event::StreamRead& read, const NodeState& state, const Now& now);
  // Does nothing for an append of another cell.
  void OnAppendDone(const job_event::AppendDone& done, const NodeState& state, const Now& now);
  void OnPaused(const Now& now);
  // Requests of another host to store. Only the owner does so, and confirms; if this process is
  // not the owner, the other host finds out by itself.
  void OnSubmission(Submission submission);
  void OnSubmissionStored(const SubmissionStored& stored, const Now& now);
  void OnQueuesChanged(const QueueTable& queues);

  JobRequestHandler& request_handler() { return request_handler_; }
  const JobRequestHandler& request_handler() const { return request_handler_; }
  const JobLogView& log_view() const { return log_view_; }
  const StreamFollower& follower() const { return follower_; }
  // The log is wanted as it is now.
  void RequestRefresh(Time now);

  // Null unless this process is the owner.
  Scheduler* scheduler() { return scheduler_.get(); }
  const Scheduler* scheduler() const { return scheduler_.get(); }
  // Started to own the cell since the last call.
  bool TakeOwnershipGained() { return std::exchange(ownership_gained_, false); }

  // The log can be read, as far as is known.
  bool StoreUsable(Time now) const;

  // As the owner of the cell that holds the layout: stores how many cells there are.
  void StoreLayout(int cells) { layout_to_store_ = cells; }

  const Counters& counters() const { return counters_; }

 private:
  // Becoming the owner takes three steps. A claim is appended; of several the first in the log
  // holds. The first append under the new epoch then shuts out the appends of earlier owners. Once
  // the log is read up to there, everything that they stored is known.
  enum class Candidacy : std::uint8_t { kNone, kClaiming, kClaimStored, kFencing, kReading };

  // Returns true for a record that only the owner writes.
  bool ApplyRecord(const KeyedRecord& record, const Now& now);
  void AdvanceElection(const NodeState& state, const Now& now);
  void AdvanceOwnerWrites(const NodeState& state, const Now& now);
  void RouteSubmissions(const NodeState& state);
  // Adds the records of waiting submissions, up to a limit, to the owner's next append.
  void AddQueuedSubmissions(std::vector<KeyedRecord>& records);
  void ConfirmSubmissions(std::int64_t offset, const Now& now);
  void BeginOwnerWrite(const NodeState& state, const Now& now);
  void IssueReads(const Now& now);
  void UpdateStoreAvailability(const Now& now);
  Duration FollowPeriod() const;
  void ClaimOwnership();
  void OnClaimDone(const job_event::AppendDone& done, const NodeState& state, const Now& now);
  void OnOwnerAppendDone(const job_event::AppendDone& done, const Now& now);
  void AdvanceCandidacy(const NodeState& state, const Now& now);
  void BeginFencing(const Now& now);
  void AbandonCandidacy(std::string_view reason, const Now& now);
  void BecomeOwner(const NodeState& state, const Now& now);
  void StepDown(std::string_view reason, const Now& now);
  std::vector<KeyedRecord> DropRecordsOfExpiredJobs(const Now& now);
  template <typename Effect>
  void Emit(Effect effect) {
    effects_.emplace_back(std::move(effect));
  }
  void EmitAppend(job_effect::Append append);
  void Log(LogEvent event);

  int index_;
  const JobNodeOptions& options_;
  std::uint64_t first_append_id_;  // Appends of different cells are numbered apart.
  JobLogView log_view_;
  StreamFollower follower_;
  OwnerElection election_;
  JobRequestHandler request_handler_;
  Counters counters_;
  std::vector<JobEffect> effects_;
  bool refresh_requested_ = false;
  Time last_pause_at_;
  bool multiple_cells_ = false;

  Candidacy candidacy_ = Candidacy::kNone;
  OwnerRecord claim_;
  std::uint64_t claim_append_id_ = 0;
  std::uint64_t next_claim_append_id_;
  std::int64_t awaited_offset_ = 0;  // To be read before the next step.
  bool predecessor_ended_ = false;   // The last owner has released, or was a process of this host.

  // While this process is the owner, and while it becomes it.
  std::unique_ptr<BatchWriter> owner_writer_;
  // While this process is the owner.
  std::unique_ptr<Scheduler> scheduler_;
  OwnerRecord ownership_;
  std::uint64_t batch_in_flight_ = 0;              // 0: none of the scheduler.
  std::vector<Submission> queued_submissions_;     // Not handed to the store.
  std::vector<Submission> submissions_in_flight_;  // In the append in flight, after other records.
  std::size_t records_before_submissions_ = 0;     // In the append in flight.
  bool releasing_ = false;
  bool ownership_gained_ = false;
  int layout_to_store_ = 0;
  Time last_owner_append_at_;

  std::map<JobKey, Time> finished_at_;
  bool store_was_usable_ = true;
};

// The cell of a job or a worker, of `cells`.
int CellIndexOf(const std::string& name, int cells);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_JOB_CELL_H_
