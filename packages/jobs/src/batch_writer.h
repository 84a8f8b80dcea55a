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

  enum class Persistence : std::uint8_t {
    // A batch that the store refuses is given up, and a store that lost the sequence of this
    // producer is given a new epoch.
    kMayRefuse,
    // Batches are repeated until they are stored or another producer has a higher epoch. The epoch
    // has a meaning of its own and stays.
    kUntilStored,
  };

  // Appends are numbered from `first_append` on; the numbers of two writers must not meet.
  BatchWriter(std::string producer, std::int64_t epoch, std::int64_t first_sequence,
              std::uint64_t first_append, Persistence persistence)
      : producer_(std::move(producer)),
        epoch_(epoch),
        sequence_(first_sequence),
        next_append_(first_append),
        persistence_(persistence) {}

  bool busy() const { return busy_; }
  // True if the batch in flight was sent at least once without an answer.
  bool unanswered() const { return busy_ && unanswered_; }
  Time started() const { return started_; }

  // Precondition: !busy() and `records` is not empty.
  void Begin(std::vector<KeyedRecord> records, Time now);

  // The append to send now, if any.
  std::optional<job_effect::Append> Next(Time now);

  // True if `append` is in flight here.
  bool Owns(std::uint64_t append) const { return in_flight_ && append == append_; }

  // Precondition: Owns(done.append).
  Result OnDone(const job_event::AppendDone& done, Time now);

 private:
  std::string producer_;
  std::int64_t epoch_;
  std::int64_t sequence_;
  std::vector<KeyedRecord> records_;
  bool busy_ = false;
  bool in_flight_ = false;
  bool unanswered_ = false;
  std::uint64_t append_ = 0;
  std::uint64_t next_append_;
  Persistence persistence_;
  Time started_;
  Time next_try_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_BATCH_WRITER_H_
