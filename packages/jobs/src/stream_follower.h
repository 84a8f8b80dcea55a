#ifndef CACTUSSHELF_JOBS_SRC_STREAM_FOLLOWER_H_
#define CACTUSSHELF_JOBS_SRC_STREAM_FOLLOWER_H_

#include <optional>
#include <string>
#include <variant>

#include "cactusshelf/jobs/job_event.h"

namespace cactusshelf::jobs {

// Reads one stream from the newest record of each key on, and then each record after these. One
// read is in flight at a time. Not thread-safe.
class StreamFollower {
 public:
  using Request = std::variant<job_effect::ReadRecords, job_effect::ReadNewest>;

  explicit StreamFollower(Stream stream) : stream_(stream) {}

  // Between the start of two reads, and how long a read waits for a record. A period of zero reads
  // again at once.
  void SetReadTiming(Duration period, Duration wait);

  // The next read, if one is due.
  std::optional<Request> NextRequest(Time now);

  // A read is due now instead of at its time.
  void ScheduleReadNow(Time now) { next_read_at_ = std::min(next_read_at_, now); }

  void OnRead(const job_event::StreamRead& read, Time now);

  // Forgets everything and starts again from the newest records.
  void Restart(Time now);

  bool loaded() const { return loaded_; }
  bool in_flight() const { return in_flight_; }
  // Offset after the last record read.
  std::int64_t next_offset() const { return next_offset_; }
  // Start of the last successful read, which has seen all that was stored before.
  Time fresh_at() const { return fresh_at_; }
  // For so long no read has been answered, although one was wanted.
  Duration UnansweredFor(Time now) const;
  Time next_read_at() const { return next_read_at_; }

 private:
  Stream stream_;
  Duration period_{};
  Duration wait_{};
  bool loaded_ = false;
  bool in_flight_ = false;
  std::int64_t next_offset_ = -1;  // -1: no page was read.
  std::string after_key_;
  int consecutive_failures_ = 0;
  Time failing_since_;
  Time next_read_at_;
  Time read_started_at_;
  Time fresh_at_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_STREAM_FOLLOWER_H_
