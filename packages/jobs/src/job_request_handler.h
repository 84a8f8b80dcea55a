#ifndef CACTUSSHELF_JOBS_SRC_JOB_REQUEST_HANDLER_H_
#define CACTUSSHELF_JOBS_SRC_JOB_REQUEST_HANDLER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "batch_writer.h"
#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/distribution.h"
#include "cactusshelf/jobs/job_log_view.h"
#include "cactusshelf/jobs/peer_messages.h"
#include "cell_views.h"
#include "stream_follower.h"

namespace cactusshelf::jobs {

struct JobRequestHandlerOptions {
  // A request is answered this long before the caller's own timeout.
  Duration reply_margin = std::chrono::milliseconds(100);
  // Upper bound on the timeout that a caller may ask for.
  Duration max_request_timeout = std::chrono::seconds(10);
  // Once an append has been unanswered for this long, new writes are refused immediately.
  Duration append_timeout = std::chrono::milliseconds(700);
  // If the owner has not confirmed a submission within this time, this host stores the records
  // itself.
  Duration owner_confirm_timeout = std::chrono::milliseconds(1000);
  // After a submission was not confirmed, no further submissions are sent to the owner for this
  // time.
  Duration owner_backoff = std::chrono::seconds(3);
  // The state of a job that another cell runs is answered from what is known once that cell's log
  // has been unreadable for this time.
  Duration other_log_timeout = std::chrono::milliseconds(1500);
  // Delay between an append that the store refused and the next one.
  Duration append_retry_delay = std::chrono::milliseconds(150);
  // Value of Retry-After in the reply to a refused request.
  Duration retry_after = std::chrono::seconds(1);
  std::size_t max_queued_writes = 4096;
  std::size_t max_batch_bytes = 1U << 20;
};

// Handles callers' requests for the jobs of one cell on one entry host. Submissions and
// cancellations are answered once they are stored; job states are read from the view of the job
// log.
//
// Records are sent to the owner of the cell, which appends the requests of all hosts in common
// batches, because a slow store handles few appends per second and refuses some hosts. If the owner
// does not confirm in time, this host appends the records itself; storing a record twice has no
// further effect.
//
// A request is answered with kNotAccepted only if it was sent neither to the owner nor to the
// store, or if the store is known not to have stored it. Not thread-safe.
class JobRequestHandler {
 public:
  // Append IDs start at `first_append_id`. `log_view` is that of the cell. It and `cells` must
  // outlive the handler.
  JobRequestHandler(const JobRequestHandlerOptions& options, const std::string& member,
                    std::uint64_t first_append_id, const JobLogView& log_view,
                    const CellViews& cells)
      : options_(options),
        log_view_(log_view),
        cells_(cells),
        writer_(member, 1, 0, first_append_id, BatchWriter::RetryPolicy::kDropRefused) {}

  // Handles a request for job `key` in the queue of `route`. `store_usable` is false while reads of
  // the store fail.
  void OnRequest(job_event::CallerRequest request, const QueueRoute& route, const JobKey& key,
                 bool store_usable, const Now& now);
  void OnCallerDisconnected(CallerId caller);

  // The job log was read: the view contains all records stored before `fresh_at`. Callers that ask
  // for a job that was handed over are answered by Advance, once the other cell's view is fresh.
  void OnLogViewFresh(Time fresh_at, Time now);
  // The job log has become unreadable. Pending reads are answered without a fresh view.
  void OnLogViewStale(Time now);

  // True if `append_id` is the append in flight from this handler.
  bool OwnsAppend(std::uint64_t append_id) const { return writer_.OwnsAppend(append_id); }
  void OnAppendDone(const job_event::AppendDone& done, const Now& now);

  // Sets the owner to which records are submitted; empty while the owner is unknown.
  void SetOwner(const std::string& member);

  // Returns the submissions to send to the owner.
  std::vector<Submission> TakeSubmissions() { return std::exchange(submissions_, {}); }

  // The owner confirmed that it has stored a submission.
  void OnSubmissionStored(const SubmissionStored& stored, const Now& now);

  // Returns the jobs whose cancellation this handler has stored since the last call.
  std::vector<JobKey> TakeCancelledJobs() { return std::exchange(cancelled_jobs_, {}); }

  // Starts due appends and submissions, and answers requests whose deadline has passed.
  void Advance(const Now& now);

  std::vector<JobEffect> TakeEffects();

  // True if a caller is waiting for the next read of the job log.
  bool needs_fresh_log_view() const;
  // Other cells whose logs callers are waiting to be read.
  std::set<int> AwaitedCells(Time now) const;
  bool idle() const {
    return pending_reads_.empty() && queued_writes_.empty() && appending_writes_.empty() &&
           submitted_batches_.empty();
  }
  const Counters& counters() const { return counters_; }
  // Time from request to reply.
  const Distribution& reply_latency() const { return reply_latency_; }

 private:
  // A submission or cancellation, which is answered once its record is stored.
  struct PendingWrite {
    CallerId caller{};
    JobKey key;
    Verb verb{};
    Time arrived;
    Time deadline;
    KeyedRecord record;
    bool may_be_stored = false;  // It was submitted to an owner that did not confirm.
  };
  // Writes that were sent to the owner in one submission.
  struct SubmittedBatch {
    Time submitted_at;
    std::vector<PendingWrite> writes;
  };
  // A request that needs a fresh view: the job is unknown, or its state may have changed.
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
  // The other cell whose log has to be read before the request is answered, if there is one.
  std::optional<int> AwaitedCell(const PendingRead& read, Time now) const;
  void ReplyToFreshReads(const Now& now);
  void EnqueueWrite(PendingWrite write, const Now& now);
  bool AppendStalled(Time now) const;
  bool OwnerAvailable(Time now) const { return !owner_.empty() && now >= owner_backoff_until_; }
  // True if new records can be sent to the owner or to the store.
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
  const CellViews& cells_;
  BatchWriter writer_;
  std::vector<PendingWrite>
      queued_writes_;  // Neither submitted to the owner nor in an append in flight.
  std::vector<PendingWrite> appending_writes_;  // In the append in flight.
  std::map<std::uint64_t, SubmittedBatch> submitted_batches_;
  std::vector<Submission> submissions_;
  std::uint64_t next_submission_ = 1;
  std::string owner_;
  Time owner_backoff_until_;
  Time next_append_at_;
  std::vector<PendingRead> pending_reads_;
  Time log_view_fresh_at_;
  std::vector<JobKey> cancelled_jobs_;
  bool store_usable_ = true;
  std::vector<JobEffect> effects_;
  Counters counters_;
  Distribution reply_latency_;
};

// True if `text` consists of 16 hexadecimal digits.
bool IsJobKey(std::string_view text);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_JOB_REQUEST_HANDLER_H_
