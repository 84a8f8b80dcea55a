#include "stream_follower.h"

#include <algorithm>

namespace cactusshelf::jobs {
namespace {

constexpr Duration kFirstRetry = std::chrono::milliseconds(50);
constexpr Duration kLongestRetry = std::chrono::milliseconds(400);

}  // namespace

void StreamFollower::SetPace(Duration period, Duration wait) {
  period_ = period;
  wait_ = wait;
}

std::optional<StreamFollower::Request> StreamFollower::Next(Time now) {
  if (in_flight_ || now < next_read_) return std::nullopt;
  in_flight_ = true;
  read_started_ = now;
  if (!loaded_) return job_effect::ReadNewest{stream_, 0, after_key_};
  return job_effect::ReadRecords{stream_, 0, from_, wait_};
}

void StreamFollower::OnRead(const job_event::StreamRead& read, Time now) {
  in_flight_ = false;
  if (read.outcome == ReadOutcome::kFailed) {
    if (failures_++ == 0) failing_since_ = read_started_;
    const Duration delay = kFirstRetry * (1 << std::min(failures_ - 1, 3));
    next_read_ = now + std::min(delay, kLongestRetry);
    return;
  }
  failures_ = 0;
  if (read.outcome == ReadOutcome::kTrimmed) {
    Restart(now);
    return;
  }
  if (read.newest) {
    // Pages are not a snapshot: what changed meanwhile is read again.
    from_ = from_ < 0 ? read.next_offset : std::min(from_, read.next_offset);
    after_key_ = read.last_key;
    next_read_ = now;
    if (read.has_more) return;
    loaded_ = true;
  } else {
    from_ = read.next_offset;
    next_read_ = read_started_ + period_;
  }
  fresh_at_ = read_started_;
}

Duration StreamFollower::SilentFor(Time now) const {
  if (failures_ > 0) return now - failing_since_;
  return in_flight_ ? now - read_started_ : Duration::zero();
}

void StreamFollower::Restart(Time now) {
  loaded_ = false;
  from_ = -1;
  after_key_.clear();
  next_read_ = now;
}

}  // namespace cactusshelf::jobs
