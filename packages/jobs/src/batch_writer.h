#ifndef CACTUSSHELF_JOBS_SRC_BATCH_WRITER_H_
#define CACTUSSHELF_JOBS_SRC_BATCH_WRITER_H_

#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/jobs/job_event.h"

namespace cactusshelf::jobs {

// Appends batches of records to the job log, one batch at a time, each exactly once.
//
// An append without an answer may still take effect at any later time. It is therefore retried with
// the same sequence number until the store reports its result; the store answers a retry with the
// result of the first append. Not thread-safe.
class BatchWriter {
 public:
  enum class Result : std::uint8_t {
    kStored,
    kRefused,  // No record of the batch was or will be stored.
    kRetry,    // The result is not known yet; the append is retried.
    kFenced,   // Another producer has a higher epoch.
  };

  enum class RetryPolicy : std::uint8_t {
    // A batch that the store refuses is dropped. If the store no longer holds the sequence of this
    // producer, the writer continues with a new epoch.
    kDropRefused,
    // Batches are retried until they are stored or another producer has a higher epoch. The epoch
    // is the owner's fencing token and never changes.
    kRetryUntilStored,
  };

  // Append IDs start at `first_append_id`; the ID ranges of two writers must not overlap.
  BatchWriter(std::string producer, std::int64_t epoch, std::int64_t first_sequence,
              std::uint64_t first_append_id, RetryPolicy retry_policy)
      : producer_(std::move(producer)),
        epoch_(epoch),
        sequence_(first_sequence),
        next_append_id_(first_append_id),
        retry_policy_(retry_policy) {}

  bool busy() const { return busy_; }
  // True if at least one append of the current batch was not answered.
  bool has_unanswered_append() const { return busy_ && has_unanswered_append_; }
  Time batch_started_at() const { return batch_started_at_; }

  // Precondition: !busy() and `records` is not empty.
  void Begin(std::vector<KeyedRecord> records, Time now);

  // Returns the append to send at `now`, if one is due.
  std::optional<job_effect::Append> NextAppend(Time now);

  // True if `append_id` is this writer's append in flight.
  bool OwnsAppend(std::uint64_t append_id) const { return in_flight_ && append_id == append_id_; }

  // Precondition: Owns(done.append).
  Result OnDone(const job_event::AppendDone& done, Time now);

 private:
  std::string producer_;
  std::int64_t epoch_;
  std::int64_t sequence_;
  std::vector<KeyedRecord> records_;
  bool busy_ = false;
  bool in_flight_ = false;
  bool has_unanswered_append_ = false;
  std::uint64_t append_id_ = 0;
  std::uint64_t next_append_id_;
  RetryPolicy retry_policy_;
  Time batch_started_at_;
  Time next_attempt_at_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_BATCH_WRITER_H_
