#ifndef CACTUSSHELF_JOBS_SRC_JOB_REQUEST_HANDLER_H_
#define CACTUSSHELF_JOBS_SRC_JOB_REQUEST_HANDLER_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "batch_writer.h"
#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/distribution.h"
#include "cactusshelf/jobs/job_log_view.h"
#include "cactusshelf/jobs/peer_messages.h"
#include "stream_follower.h"

namespace cactusshelf::jobs {

struct JobRequestHandlerOptions {
  // A request is answered so long before its caller gives up.
  Duration reply_margin = std::chrono::milliseconds(100);
  // Longest patience that is assumed of a caller.
  Duration max_request_timeout = std::chrono::seconds(10);
  // While an append has not been answered for so long, further requests that would have to be
  // stored are refused at once.
  Duration append_timeout = std::chrono::milliseconds(700);
  // A submission that the owner has not confirmed within this time is stored by this host itself.
  Duration owner_confirm_timeout = std::chrono::milliseconds(1000);
  // Nothing is handed to an owner that did not confirm for so long.
  Duration owner_backoff = std::chrono::seconds(3);
  // Between a refusal by the store and the next append.
  Duration append_retry_delay = std::chrono::milliseconds(150);
  // When to come back after a refusal.
  Duration retry_after = std::chrono::seconds(1);
  std::size_t max_queued_writes = 4096;  // Requests.
  std::size_t max_batch_bytes = 1U << 20;
};

// Answers callers of one entry host: accepts and cancels jobs by storing that, and tells their
// state from the ledger.
//
// What is to be stored goes to the owner of the cell, which stores the requests of all hosts
// together; a slow store takes few appends a second, and turns some hosts away. If the owner does
// not confirm, this host stores the records itself, where storing them twice changes nothing.
//
// "Not accepted" is said only of a request that was never handed to the owner or the store, or that
// the store has certainly not stored. Not thread-safe.
class JobRequestHandler {
 public:
  // Appends are numbered from `first_append` on. `ledger` outlives the desk.
  JobRequestHandler(const JobRequestHandlerOptions& options, const std::string& member,
                    std::uint64_t first_append_id, const JobLogView& log_view)
      : options_(options),
        log_view_(log_view),
        writer_(member, 1, 0, first_append_id, BatchWriter::RetryPolicy::kDropRefused) {}

  // A request for job `key` of the queue of `route`. `store_usable` is false while reads of the
  // store fail.
  void OnRequest(job_event::CallerRequest request, const QueueRoute& route, const JobKey& key,
                 bool store_usable, const Now& now);
  void OnCallerDisconnected(CallerId caller);

  // The job log was read; everything stored before `fresh_at` is in the ledger.
  void OnLogViewFresh(Time fresh_at, Time now);
  // The job log cannot be read now.
  void OnLogViewStale(Time now);

  bool OwnsAppend(std::uint64_t append_id) const { return writer_.OwnsAppend(append_id); }
  void OnAppendDone(const job_event::AppendDone& done, const Now& now);

  // The owner to which records may be handed; none while it is not known.
  void SetOwner(const std::string& member);

  // Records to hand to the owner.
  std::vector<Submission> TakeSubmissions() { return std::exchange(submissions_, {}); }

  // The owner has stored a submission.
  void OnSubmissionStored(const SubmissionStored& stored, const Now& now);

  // Jobs whose cancellation was stored through this desk since the last call.
  std::vector<JobKey> TakeCancelledJobs() { return std::exchange(cancelled_jobs_, {}); }

  // Sends what is due and answers those whose time is up.
  void Advance(const Now& now);

  std::vector<JobEffect> TakeEffects();

  // True if a caller waits for records that are not in the ledger yet.
  bool needs_fresh_log_view() const { return !pending_reads_.empty(); }
  bool idle() const {
    return pending_reads_.empty() && queued_writes_.empty() && appending_writes_.empty() &&
           submitted_batches_.empty();
  }
  const Counters& counters() const { return counters_; }
  // Prometheus summary of the time to a reply.
  const Distribution& reply_latency() const { return reply_latency_; }

 private:
  // A request that is stored before it is answered.
  struct PendingWrite {
    CallerId caller{};
    JobKey key;
    Verb verb{};
    Time arrived;
    Time deadline;
    KeyedRecord record;
    bool may_be_stored = false;  // It was handed to an owner that did not confirm.
  };
  // Requests that were handed to the owner together.
  struct SubmittedBatch {
    Time submitted_at;
    std::vector<PendingWrite> writes;
  };
  // A request for a job that the ledger did not know or whose state may have changed.
  struct PendingRead {
    CallerId caller{};
    JobKey key;
    Verb verb{};
    Time arrived;
    Time deadline;
  };

  void HandleSubmit(const job_event::CallerRequest& request, const QueueRoute& route,
                    const JobKey& key, const Now& now);
  void HandleRead(const job_event::CallerRequest& request, const JobKey& key, const Now& now);
  void HandleCancel(const PendingRead& read, const Now& now);
  void EnqueueWrite(PendingWrite write, const Now& now);
  bool AppendStalled(Time now) const;
  bool OwnerAvailable(Time now) const { return !owner_.empty() && now >= owner_backoff_until_; }
  // Something that is to be stored can be handed to the owner or the store.
  bool CanStore(Time now) const { return store_usable_ || OwnerAvailable(now); }
  void ReplyStored(const PendingWrite& write, std::int64_t offset, Time now);
  void SubmitToOwner(Time now);
  void RequeueUnconfirmed(Time now);
  void ReplyToExpired(Time now);
  void ReplyToRead(const PendingRead& read, const Now& now);
  void Reply(CallerId caller, const JobKey& key, ReplyKind kind, Time arrived, Time now,
             std::string message = "", JobState state = JobState::kQueued);
  void BeginAppend(const Now& now);

  JobRequestHandlerOptions options_;
  const JobLogView& log_view_;
  BatchWriter writer_;
  std::vector<PendingWrite> queued_writes_;     // Not handed to the store.
  std::vector<PendingWrite> appending_writes_;  // In the batch in flight.
  std::map<std::uint64_t, SubmittedBatch> submitted_batches_;
  std::vector<Submission> submissions_;
  std::uint64_t next_submission_ = 1;
  std::string owner_;
  Time owner_backoff_until_;
  Time next_append_at_;
  std::vector<PendingRead> pending_reads_;
  std::vector<JobKey> cancelled_jobs_;
  bool store_usable_ = true;
  std::vector<JobEffect> effects_;
  Counters counters_;
  Distribution reply_latency_;
};

// True for 16 hexadecimal digits.
bool IsJobKey(std::string_view text);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_JOB_REQUEST_HANDLER_H_
