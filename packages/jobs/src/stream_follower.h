#ifndef CACTUSSHELF_JOBS_SRC_STREAM_FOLLOWER_H_
#define CACTUSSHELF_JOBS_SRC_STREAM_FOLLOWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "cactusshelf/jobs/job_event.h"

namespace cactusshelf::jobs {

// Reads one stream: first the newest record of each key, then all records that follow. At most one
// read is in flight. Not thread-safe.
class StreamFollower {
 public:
  using Request = std::variant<job_effect::ReadRecords, job_effect::ReadNewest>;

  explicit StreamFollower(Stream stream) : stream_(stream) {}

  // `period` is the time between the starts of two reads; with zero, the next read starts as soon
  // as the last one ends. `wait` is how long a read may wait for a record.
  void SetReadTiming(Duration period, Duration wait);

  // Returns the next read and marks it as in flight, if one is due at `now`.
  std::optional<Request> NextRequest(Time now);

  // Makes the next read due no later than `now`.
  void ScheduleReadNow(Time now) { next_read_at_ = std::min(next_read_at_, now); }

  // Handles the result of the read in flight. Returns true if its records are to be applied; false
  // if it has none, or was sent before the last restart and so belongs to an earlier listing.
  bool OnRead(const job_event::StreamRead& read, Time now);

  // Discards the read position, and the read in flight if there is one, and starts again from the
  // newest record of each key.
  void Restart(Time now);

  // True once the newest record of each key has been read.
  bool loaded() const { return loaded_; }
  // Number of the current listing, which rises with each restart. Once loaded, a key that was last
  // read under a lower number is no longer in the stream: its removal may be in no record that is
  // left to read.
  std::uint64_t listing() const { return listing_; }
  bool in_flight() const { return in_flight_; }
  // Offset after the last record read.
  std::int64_t next_offset() const { return next_offset_; }
  // Start of the last read that reached the end of the stream. All records stored before that time
  // have been read.
  Time fresh_at() const { return fresh_at_; }
  // Time since reads began to fail or to remain unanswered; zero while they succeed.
  Duration UnansweredFor(Time now) const;
  Time next_read_at() const { return next_read_at_; }

 private:
  Stream stream_;
  Duration period_{};
  Duration wait_{};
  std::uint64_t listing_ = 0;
  bool loaded_ = false;
  bool in_flight_ = false;
  std::uint64_t listing_in_flight_ = 0;  // The current listing when the read in flight was sent.
  std::int64_t next_offset_ = -1;        // -1: no page has been read.
  std::string after_key_;
  int consecutive_failures_ = 0;
  Time failing_since_;
  Time next_read_at_;
  Time read_started_at_;
  Time fresh_at_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_STREAM_FOLLOWER_H_
