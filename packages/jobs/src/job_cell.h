#ifndef CACTUSSHELF_JOBS_SRC_JOB_CELL_H_
#define CACTUSSHELF_JOBS_SRC_JOB_CELL_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/jobs/job_node.h"
#include "cell_choice.h"
#include "cell_views.h"
#include "epoch_voter.h"
#include "host_votes.h"
#include "job_request_handler.h"
#include "owner_election.h"
#include "scheduler.h"
#include "stream_follower.h"

namespace cactusshelf::jobs {

// State of the node that its cells share.
struct NodeState {
  QueueTable queues;
  bool draining = false;
  int owned_cells = 0;
  int claimed_cells = 0;  // Cells that this process owns or is trying to own.
  int cell_count = 1;
  // Entry hosts by name, as announced.
  const std::map<std::string, HostRecord>* hosts = nullptr;
  // All of them understand HandOverRecord.
  bool hosts_hand_over_jobs = false;
  // All of them read JobProgress::step_counts.
  bool hosts_read_task_numbers = false;
};

// One process's view of one cell. A cell is a partition of the jobs and workers with its own job
// log. The class follows that log, handles callers' requests for the cell's jobs and, while this
// process owns the cell, schedules the jobs. Not thread-safe.
class JobCell {
 public:
  // Adds itself to `cells`, which has to hold the cells before it and must outlive this object.
  // `cell_choice` serves all cells of the process, and must outlive it too.
  JobCell(int index, const JobNodeOptions& options, std::uint64_t seed, CellViews& cells,
          CellChoice& cell_choice);

  // Performs all work that is due; call after each event. The resulting effects are returned by
  // TakeEffects.
  void Advance(const NodeState& state, const Now& now);
  std::vector<JobEffect> TakeEffects();

  void OnRead(job_event::StreamRead& read, const NodeState& state, const Now& now);
  // Ignores appends of other cells.
  void OnAppendDone(const job_event::AppendDone& done, const NodeState& state, const Now& now);
  void OnPaused(const Now& now);
  // Queues records of callers' requests, of this or another host, to be stored and confirmed.
  // Dropped unless this process is the owner and the store can take them; the sender then times out
  // and stores them itself.
  void OnSubmission(Submission submission);
  void OnSubmissionStored(const SubmissionStored& stored, const Now& now);
  void OnOwnershipAnswer(const OwnershipAnswer& answer, const Now& now);
  // Another process owns the cell under `epoch`. Stops as an earlier owner.
  void OnEpochNoticed(std::int64_t epoch, const Now& now);
  // Votes for the owner that sent the notice, unless this process was told of a later one.
  OwnershipAnswer AnswerNotice(const OwnershipNotice& notice, const Now& now);
  void OnQueuesChanged(const QueueTable& queues);

  JobRequestHandler& request_handler() { return request_handler_; }
  const JobRequestHandler& request_handler() const { return request_handler_; }
  const JobLogView& log_view() const { return log_view_; }
  const StreamFollower& follower() const { return follower_; }
  // Requests a read of the log without waiting for the next regular one.
  void RequestRefresh(Time now);
  // As RequestRefresh, but a read that was sent before `now` is not enough.
  void RequestReadAfter(Time now) { needed_at_ = now; }

  // Null unless this process is the owner.
  Scheduler* scheduler() { return scheduler_.get(); }
  const Scheduler* scheduler() const { return scheduler_.get(); }
  // True while this process is the owner of the cell or is trying to become it.
  bool owned_or_claimed() const { return scheduler_ != nullptr || candidacy_ != Candidacy::kNone; }
  // True if this process became the owner of the cell since the last call.
  bool TakeOwnershipGained() { return std::exchange(ownership_gained_, false); }

  // Address of the owner's host, or nothing if none is known.
  std::string OwnerAddress(const NodeState& state) const;

  // True while reads of the log succeed or have failed only briefly.
  bool StoreUsable(Time now) const;

  // Returns the cells to whose owners a HandOverNotice is due.
  std::set<int> TakeCellsToNotify() { return std::exchange(cells_to_notify_, {}); }
  // Returns the room of the cell if a report of it is due. Nothing unless this process is the owner
  // and there are several cells.
  std::optional<CellRoom> TakeRoomReport(const Now& now);

  // Stores the number of cells. Precondition: this is the first cell, and this process owns it.
  void StoreLayout(int cells) { cell_count_to_store_ = cells; }

  const Counters& counters() const { return counters_; }

 private:
  // Becoming the owner takes three steps: append a claim, of which the first in the log is valid;
  // append under the new epoch, which fences the appends of earlier owners; read the log up to that
  // append, after which all records of earlier owners are known.
  enum class Candidacy : std::uint8_t { kNone, kClaiming, kClaimStored, kFencing, kReading };

  // Who may have written a record: any host for a caller, a claimant or this process, any owner.
  enum class RecordWriter : std::uint8_t { kHost, kClaimantOrSelf, kOwner };
  // Applies `record` to the view and the scheduler.
  RecordWriter ApplyRecord(const KeyedRecord& record, const Now& now);
  // Drops the jobs that were dropped from the log while this process did not read it.
  void DropJobsMissingFromListing();
  void ForgetDroppedJob(const JobKey& key);
  void AdvanceElection(const NodeState& state, const Now& now);
  void AdvanceOwnerWrites(const NodeState& state, const Now& now);
  void LogRoom(const CellRoom& room, const Now& now);
  // A cancellation is stored. Precondition: this process is the owner.
  void OnCancelStored(const JobKey& key, const Now& now);
  // Stores copies of the jobs that other cells have handed over to this one, and applies their
  // cancellations.
  void TakeOverJobs(const Now& now);
  // Changes with each record that may concern jobs for this cell.
  std::uint64_t CountHandOverChanges() const;
  void TakeOverJob(int home_cell, const JobKey& key, const Now& now);
  // True if the entry is a copy of a job whose cancellation has been read in the log of its cell.
  bool IsCancelledAtHome(const JobLogView::Entry& entry) const;
  // Notes the ends of jobs that this cell has handed over, so that their records are dropped.
  void NoteFinishedElsewhere(const Now& now);
  // True if all that earlier owners of this cell knew of the other cell's log has been read.
  bool KnowsLogOf(int cell) const { return cells_.FreshAt(cell) > ownership_gained_at_; }
  // True if the records of a finished job can be dropped. A copy stays until the job is dropped
  // from the log of the cell of its name: it would be taken over once more.
  bool MayDrop(const JobKey& key) const;
  void RouteSubmissions(const NodeState& state);
  // Tells the other hosts that this process is the owner, and asks for their votes.
  void SendOwnershipNotices(const NodeState& state, const Now& now);
  // Adds the records of queued submissions, up to a limit, to the owner's next append.
  void AddQueuedSubmissions(std::vector<KeyedRecord>& records);
  void ConfirmSubmissions(std::int64_t offset, const Now& now);
  void BeginOwnerWrite(const NodeState& state, const Now& now);
  // Time between two appends of the owner that has nothing else to store.
  Duration HeartbeatPeriod() const;
  void IssueReads(const Now& now);
  void UpdateStoreAvailability(const Now& now);
  Duration FollowPeriod() const;
  void ClaimOwnership();
  void OnClaimDone(const job_event::AppendDone& done, const NodeState& state, const Now& now);
  // The owner's append is stored. Precondition: this process is the owner.
  void ConfirmStoredBatch();
  void OnOwnerAppendDone(const job_event::AppendDone& done, const Now& now);
  void AdvanceCandidacy(const NodeState& state, const Now& now);
  void BeginFencing(const Now& now);
  // From now on this process votes for itself only, and asks the other hosts.
  void BeginVoting(const Now& now);
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
  CellViews& cells_;
  CellChoice& cell_choice_;
  std::uint64_t first_append_id_;  // Each cell has its own range of append IDs.
  JobLogView log_view_;
  StreamFollower follower_;
  OwnerElection election_;
  JobRequestHandler request_handler_;
  Counters counters_;
  std::vector<JobEffect> effects_;
  bool refresh_requested_ = false;
  std::optional<Time> needed_at_;  // As given to RequestReadAfter, until such a read has ended.
  bool multiple_cells_ = false;

  Candidacy candidacy_ = Candidacy::kNone;
  OwnerRecord claim_;
  std::uint64_t claim_append_id_ = 0;
  std::uint64_t next_claim_append_id_;
  // The log has to be read past this offset before the next step.
  std::int64_t awaited_offset_ = 0;
  // When a record of another owner was last read.
  Time last_other_owner_record_at_;
  // The last owner released the cell, or was a process of this host.
  bool predecessor_ended_ = false;

  // Set while this process is the owner or is fencing earlier owners.
  std::unique_ptr<BatchWriter> owner_writer_;
  std::unique_ptr<HostVotes> host_votes_;  // Set while scheduler_ is.
  std::optional<Time> last_notice_at_;
  EpochVoter voter_;
  // Set while this process is the owner.
  std::unique_ptr<Scheduler> scheduler_;
  OwnerRecord ownership_;
  std::uint64_t batch_in_flight_ = 0;              // Of the scheduler's changes; 0: none.
  std::vector<Submission> queued_submissions_;     // Not in an append yet.
  std::vector<Submission> submissions_in_flight_;  // In the append in flight.
  std::size_t records_before_submissions_ = 0;     // In the append in flight, from the scheduler.
  bool releasing_ = false;
  bool ownership_gained_ = false;
  Time ownership_gained_at_;
  // Copies of jobs of other cells that are being stored.
  std::set<JobKey> copies_in_flight_;
  Time next_hand_over_check_;
  std::uint64_t hand_over_changes_applied_ = 0;  // As counted by CountHandOverChanges.
  std::set<int> targets_of_batch_;               // Of the jobs that the batch in flight hands over.
  std::set<int> cells_to_notify_;
  Time next_room_check_;
  Time next_room_log_;
  Time room_reported_at_;
  CellRoom reported_room_;
  int cell_count_to_store_ = 0;
  Time last_owner_append_at_;
  // When the last append began that holds a record of this owner, which others take as a heartbeat.
  Time last_heartbeat_at_;

  std::map<JobKey, Time> finished_at_;
  bool store_was_usable_ = true;
};

// Returns the index of the cell to which a job or a worker belongs. Thread-safe.
int CellIndexOf(const std::string& name, int cells);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_JOB_CELL_H_
