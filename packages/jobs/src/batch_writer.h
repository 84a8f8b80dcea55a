#ifndef CACTUSSHELF_JOBS_SRC_BATCH_WRITER_H_
#define CACTUSSHELF_JOBS_SRC_BATCH_WRITER_H_

#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/jobs/job_event.h"

namespace cactusshelf::jobs {

// Appends batches of records to the job log, one at a time and each exactly once.
//
// An append that was not answered may take effect at any later time, so it is repeated with its
// sequence number until the store says what became of it; the store answers a repeat with the
// result of the first. Not thread-safe.
class BatchWriter {
 public:
  enum class Result : std::uint8_t {
    kStored,
    kRefused,  // Nothing was or will be stored of the batch.
    kRetry,    // Not known yet.
    kFenced,
  };

  enum class RetryPolicy : std::uint8_t {
    // A batch that the store refuses is given up, and a store that lost the sequence of this
    // producer is given a new epoch.
    kDropRefused,
    // Batches are repeated until they are stored or another producer has a higher epoch. The epoch
    // has a meaning of its own and stays.
    kRetryUntilStored,
  };

  // Appends are numbered from `first_append` on; the numbers of two writers must not meet.
  BatchWriter(std::string producer, std::int64_t epoch, std::int64_t first_sequence,
              std::uint64_t first_append_id, RetryPolicy retry_policy)
      : producer_(std::move(producer)),
        epoch_(epoch),
        sequence_(first_sequence),
        next_append_id_(first_append_id),
        retry_policy_(retry_policy) {}

  bool busy() const { return busy_; }
  // True if the batch in flight was sent at least once without an answer.
  bool has_unanswered_append() const { return busy_ && has_unanswered_append_; }
  Time batch_started_at() const { return batch_started_at_; }

  // Precondition: !busy() and `records` is not empty.
  void Begin(std::vector<KeyedRecord> records, Time now);

  // The append to send now, if any.
  std::optional<job_effect::Append> NextAppend(Time now);

  // True if `append` is in flight here.
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
