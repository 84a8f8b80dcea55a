#ifndef CACTUSSHELF_JOBS_SRC_JOB_NODE_IMPL_H_
#define CACTUSSHELF_JOBS_SRC_JOB_NODE_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/jobs/job_node.h"
#include "entry_desk.h"
#include "owner_election.h"
#include "scheduler.h"
#include "stream_follower.h"

namespace cactusshelf::jobs {

class JobNode::Impl {
 public:
  Impl(const JobNodeOptions& options, std::uint64_t seed);

  void Start(const Now& now);
  void Handle(const Now& now, JobEvent event);
  std::vector<JobEffect> TakeEffects();
  std::optional<Time> NextWakeup() const;
  bool ready(Time now) const;
  bool owner() const { return scheduler_ != nullptr; }
  std::string Metrics() const;

 private:
  void On(job_event::CallerRequest& request, const Now& now);
  void On(const job_event::CallerGone& gone, const Now& now);
  void On(job_event::StreamRead& read, const Now& now);
  void On(const job_event::AppendDone& done, const Now& now);
  void On(const job_event::HoldDone& done, const Now& now);
  void On(const job_event::StartDone& done, const Now& now);
  void On(const job_event::StopDone& done, const Now& now);
  void On(const job_event::PaceDone& done, const Now& now);
  void On(const job_event::Timer& timer, const Now& now);
  void On(const job_event::DrainRequested& drain, const Now& now);

  void OnJobsRead(job_event::StreamRead& read, const Now& now);
  // Returns true for a record that only the owner writes.
  bool ApplyJobRecord(const KeyedRecord& record, const Now& now);
  void OnConfigurationRead(job_event::StreamRead& read, const Now& now);
  void OnWorkersRead(job_event::StreamRead& read, const Now& now);
  StreamFollower& FollowerOf(Stream stream);

  void DetectPause(const Now& now);
  void Decide(const Now& now);
  void DecideReads(const Now& now);
  void DecideElection(const Now& now);
  void DecideOwnerWrites(const Now& now);
  void DecideEnd(const Now& now);
  void Claim(const Now& now);
  void OnClaimDone(const job_event::AppendDone& done, const Now& now);
  void OnOwnerAppendDone(const job_event::AppendDone& done, const Now& now);
  void AdvanceCandidacy(const Now& now);
  void BeginFencing(const Now& now);
  void GiveUpCandidacy(std::string_view reason, const Now& now);
  void BecomeOwner(const Now& now);
  void StepDown(std::string_view reason, const Now& now);
  void SetQueueServices();
  void ForgetOldJobs(const Now& now);
  bool StoreUsable(Time now) const;
  void Emit(JobEffect effect) { effects_.push_back(std::move(effect)); }
  void Log(LogEvent event) { Emit(job_effect::WriteLogEvent{std::move(event)}); }

  JobNodeOptions options_;
  JobLedger ledger_;
  QueueTable queues_;
  StreamFollower jobs_{Stream::kJobs};
  StreamFollower configuration_{Stream::kConfiguration};
  StreamFollower workers_{Stream::kWorkers};
  OwnerElection election_;
  EntryDesk desk_;
  Counters counters_;
  std::vector<JobEffect> effects_;

  // Becoming the owner takes three steps. A claim is appended; of several the first in the log
  // holds. The first append under the new epoch then shuts out the appends of earlier owners. Once
  // the log is read up to there, everything that they stored is known.
  enum class Candidacy : std::uint8_t { kNone, kClaiming, kClaimStored, kFencing, kReading };
  Candidacy candidacy_ = Candidacy::kNone;
  OwnerRecord claim_;
  std::uint64_t claim_append_ = 0;
  std::uint64_t next_claim_append_ = 1;
  std::int64_t awaited_offset_ = 0;  // To be read before the next step.
  bool predecessor_ended_ = false;   // The last owner has released, or was a process of this host.

  // While this process is the owner, and while it becomes it.
  std::unique_ptr<BatchWriter> owner_writer_;
  // While this process is the owner.
  std::unique_ptr<Scheduler> scheduler_;
  OwnerRecord ownership_;
  std::uint64_t batch_in_flight_ = 0;
  bool releasing_ = false;
  Time last_owner_write_;

  std::map<JobKey, Time> over_since_;
  std::optional<Time> last_event_;
  WallTime last_wall_{};
  Time last_jobs_read_;
  std::optional<Time> drain_started_;
  bool store_was_usable_ = true;
  bool stop_sent_ = false;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_JOB_NODE_IMPL_H_
