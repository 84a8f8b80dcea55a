#ifndef CACTUSSHELF_JOBS_SRC_JOB_NODE_IMPL_H_
#define CACTUSSHELF_JOBS_SRC_JOB_NODE_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/base/random.h"
#include "job_cell.h"
#include "order_relay.h"
#include "relay_pool.h"

namespace cactusshelf::jobs {

class JobNode::Impl {
 public:
  Impl(const JobNodeOptions& options, std::uint64_t seed);

  void Start(const Now& now);
  void Handle(const Now& now, JobEvent event);
  std::vector<JobEffect> TakeEffects();
  std::optional<Time> NextWakeup() const;
  bool ready(Time now) const;
  bool is_owner() const { return node_state_.owned_cells > 0; }
  std::string Metrics() const;

 private:
  // A request for the number of pending jobs of a queue.
  struct PendingCountRead {
    CallerId caller{};
    std::string queue;
    Time arrived;
  };

  void OnEvent(job_event::CallerRequest& request, const Now& now);
  void OnEvent(const job_event::CallerDisconnected& gone, const Now& now);
  void OnEvent(job_event::StreamRead& read, const Now& now);
  void OnEvent(const job_event::AppendDone& done, const Now& now);
  void OnEvent(const job_event::HoldDone& done, const Now& now);
  void OnEvent(const job_event::StartDone& done, const Now& now);
  void OnEvent(const job_event::StopDone& done, const Now& now);
  void OnEvent(const job_event::PaceDone& done, const Now& now);
  void OnEvent(const job_event::PeerMessage& message, const Now& now);
  void OnEvent(const job_event::Timer& timer, const Now& now);
  void OnEvent(const job_event::DrainRequested& drain, const Now& now);

  // Handles an answer to an order of one of this process's schedulers.
  void OnOrderAnswer(const WorkerAnswer& answer, const Now& now);
  // Handles an answer to an order that this process sent to a worker, either for itself or as a
  // relay.
  void OnLocalAnswer(WorkerAnswer answer, const Now& now);

  // True, with a log line, if the message answers another process, or hides whom it answers.
  bool IsForOtherProcess(const PeerMessageBody& message);
  void OnCellRoom(CellRoom room, const Now& now);
  void OnOwnershipNotice(const OwnershipNotice& notice, const Now& now);

  void OnConfigurationRead(job_event::StreamRead& read);
  void OnWorkersRead(const job_event::StreamRead& read, const Now& now);
  // Tells the scheduler of a listed worker, if this process owns the worker's cell.
  void AnnounceWorker(const WorkerEntry& entry, const Now& now);
  void RemoveWorker(const std::string& id, const Now& now);
  void RemoveWorkersMissingFromListing(const Now& now);
  void AnnounceWorkersToNewOwners(const Now& now);
  void ForgetWorkerList(const Now& now);
  // Null unless this process owns the cell of `worker`.
  Scheduler* SchedulerOf(const std::string& worker);
  // Cell of a job or worker; null while the number of cells is not known.
  JobCell* CellOfJob(const std::string& key);
  // Throws DecodeError if there is no such cell.
  JobCell& CellAt(int index);
  void ReplyImmediately(const job_event::CallerRequest& request, ReplyKind kind,
                        std::string message);
  void ReplyToPendingReads(const Now& now);

  void DetectPause(const Now& now);
  void Advance(const Now& now);
  void CreateCells();
  void CheckVersionsOfHosts();
  void ChooseCellCount(const Now& now);
  void IssueReads(const Now& now);
  void AdvanceRelaying(const Now& now);
  // Prepares the pool when this process begins to claim a cell, or owns and claims none any more.
  void UpdateRelayProbing(const Now& now);
  void AnnounceHost(const Now& now);
  void SendOrder(WorkerOrder order, const Now& now);
  void EmitRead(const std::optional<StreamFollower::Request>& request);
  void StopIfDrained(const Now& now);
  // What the cells have for each other and for the owners of other cells.
  void ConnectCells(const Now& now);
  void ReportRoom(const CellRoom& room, const Now& now);
  void NotifyOwner(int cell, int home_cell, const Now& now);
  void CollectEffects(JobCell& cell, const Now& now);
  template <typename Effect>
  void Emit(Effect effect) {
    effects_.emplace_back(std::move(effect));
  }
  void Log(LogEvent event) { Emit(job_effect::WriteLogEvent{std::move(event)}); }

  JobNodeOptions options_;
  Random random_;
  NodeState node_state_;
  CellViews cell_views_;
  CellChoice cell_choice_;
  // The first cell always exists; its log holds the number of cells.
  std::vector<std::unique_ptr<JobCell>> cells_;
  StreamFollower configuration_follower_{Stream::kConfiguration};
  StreamFollower workers_follower_{Stream::kWorkers};
  struct ListedWorker {
    WorkerEntry entry;
    std::uint64_t listing = 0;  // StreamFollower::listing when the entry was last read.
  };
  std::map<std::string, ListedWorker> listed_workers_;  // By ID; empty unless this is an owner.
  Time worker_list_changed_at_;
  Counters counters_;
  std::vector<JobEffect> effects_;
  std::vector<PendingCountRead> pending_count_reads_;

  // The pool relays orders of cells that this process owns; the relay forwards those of other
  // owners.
  RelayPool relay_pool_;
  OrderRelay order_relay_;
  enum class Announcement : std::uint8_t { kWanted, kInFlight, kStored };
  Announcement announcement_ = Announcement::kWanted;
  Time next_announcement_at_;
  std::uint64_t announcements_applied_ = 0;  // Announcements that the pool has been given.
  std::uint64_t announcements_checked_ = 0;  // As above, for CheckVersionsOfHosts.
  bool uses_relays_ = false;                 // This process owns or claims a cell.

  Time started_at_;
  std::optional<Time> last_event_at_;
  WallTime last_event_wall_{};
  std::optional<Time> drain_started_at_;
  bool stop_sent_ = false;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_JOB_NODE_IMPL_H_
