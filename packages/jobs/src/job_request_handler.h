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
  Duration answer_margin = std::chrono::milliseconds(100);
  // Longest patience that is assumed of a caller.
  Duration longest_wait = std::chrono::seconds(10);
  // While an append has not been answered for so long, further requests that would have to be
  // stored are refused at once.
  Duration store_patience = std::chrono::milliseconds(700);
  // A submission that the owner has not confirmed within this time is stored by this host itself.
  Duration owner_patience = std::chrono::milliseconds(1000);
  // Nothing is handed to an owner that did not confirm for so long.
  Duration owner_doubt = std::chrono::seconds(3);
  // Between a refusal by the store and the next append.
  Duration append_retry_delay = std::chrono::milliseconds(150);
  // When to come back after a refusal.
  Duration retry_after = std::chrono::seconds(1);
  std::size_t max_waiting = 4096;  // Requests.
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
                    std::uint64_t first_append, const JobLogView& log_view)
      : options_(options),
        log_view_(log_view),
        writer_(member, 1, 0, first_append, BatchWriter::Persistence::kMayRefuse) {}

  // A request for job `key` of the queue of `route`. `store_usable` is false while reads of the
  // store fail.
  void OnRequest(job_event::CallerRequest request, const QueueRoute& route, const JobKey& key,
                 bool store_usable, const Now& now);
  void OnCallerDisconnected(CallerId caller);

  // The job log was read; everything stored before `fresh_at` is in the ledger.
  void OnLogViewFresh(Time fresh_at, Time now);
  // The job log cannot be read now.
  void OnLogViewStale(Time now);

  bool Owns(std::uint64_t append) const { return writer_.Owns(append); }
  void OnAppendDone(const job_event::AppendDone& done, const Now& now);

  // The owner to which records may be handed; none while it is not known.
  void SetOwner(const std::string& member);

  // Records to hand to the owner.
  std::vector<Submission> TakeSubmissions() { return std::exchange(submissions_, {}); }

  // The owner has stored a submission.
  void OnSubmissionStored(const SubmissionStored& stored, const Now& now);

  // Jobs whose cancellation was stored through this desk since the last call.
  std::vector<JobKey> TakeCancelled() { return std::exchange(cancelled_, {}); }

  // Sends what is due and answers those whose time is up.
  void Decide(const Now& now);

  std::vector<JobEffect> TakeEffects();

  // True if a caller waits for records that are not in the ledger yet.
  bool needs_fresh_log_view() const { return !readers_.empty(); }
  bool idle() const {
    return readers_.empty() && waiting_.empty() && stored_.empty() && submitted_.empty();
  }
  const Counters& counters() const { return counters_; }
  // Prometheus summary of the time to a reply.
  const Distribution& reply_time() const { return reply_time_; }

 private:
  // A request that is stored before it is answered.
  struct Waiter {
    CallerId caller{};
    JobKey key;
    Verb verb{};
    Time arrived;
    Time deadline;
    KeyedRecord record;
    bool may_be_stored = false;  // It was handed to an owner that did not confirm.
  };
  // Requests that were handed to the owner together.
  struct Handed {
    Time at;
    std::vector<Waiter> waiters;
  };
  // A request for a job that the ledger did not know or whose state may have changed.
  struct Reader {
    CallerId caller{};
    JobKey key;
    Verb verb{};
    Time arrived;
    Time deadline;
  };

  void Submit(const job_event::CallerRequest& request, const QueueRoute& route, const JobKey& key,
              const Now& now);
  void Read(const job_event::CallerRequest& request, const JobKey& key, const Now& now);
  void Cancel(const Reader& reader, const Now& now);
  void Store(Waiter waiter, const Now& now);
  bool StoreBlocked(Time now) const;
  bool OwnerUsable(Time now) const { return !owner_.empty() && now >= owner_doubted_until_; }
  // Something that is to be stored can be handed to the owner or the store.
  bool CanStore(Time now) const { return store_usable_ || OwnerUsable(now); }
  void ReplyStored(const Waiter& waiter, std::int64_t offset, Time now);
  void HandToOwner(Time now);
  void TakeBackUnconfirmed(Time now);
  void AnswerLate(Time now);
  void AnswerReader(const Reader& reader, const Now& now);
  void Reply(CallerId caller, const JobKey& key, ReplyKind kind, Time arrived, Time now,
             std::string message = "", JobState state = JobState::kQueued);
  void BeginBatch(const Now& now);

  JobRequestHandlerOptions options_;
  const JobLogView& log_view_;
  BatchWriter writer_;
  std::vector<Waiter> waiting_;  // Not handed to the store.
  std::vector<Waiter> stored_;   // In the batch in flight.
  std::map<std::uint64_t, Handed> submitted_;
  std::vector<Submission> submissions_;
  std::uint64_t next_submission_ = 1;
  std::string owner_;
  Time owner_doubted_until_;
  Time next_batch_;
  std::vector<Reader> readers_;
  std::vector<JobKey> cancelled_;
  bool store_usable_ = true;
  std::vector<JobEffect> effects_;
  Counters counters_;
  Distribution reply_time_;
};

// True for 16 hexadecimal digits.
bool IsJobKey(std::string_view text);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_JOB_REQUEST_HANDLER_H_
