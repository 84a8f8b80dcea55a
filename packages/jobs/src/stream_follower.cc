#include "stream_follower.h"

#include <algorithm>

namespace cactusshelf::jobs {
namespace {

constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(400);

}  // namespace

void StreamFollower::SetReadTiming(Duration period, Duration wait) {
  period_ = period;
  wait_ = wait;
}

std::optional<StreamFollower::Request> StreamFollower::NextRequest(Time now) {
  if (in_flight_ || now < next_read_at_) return std::nullopt;
  in_flight_ = true;
  listing_in_flight_ = listing_;
  read_started_at_ = now;
  if (!loaded_) return job_effect::ReadNewest{stream_, 0, after_key_};
  return job_effect::ReadRecords{stream_, 0, next_offset_, wait_};
}

bool StreamFollower::OnRead(const job_event::StreamRead& read, Time now) {
  in_flight_ = false;
  if (read.outcome == ReadOutcome::kFailed) {
    if (consecutive_failures_++ == 0) failing_since_ = read_started_at_;
    const Duration delay = kInitialRetryDelay * (1 << std::min(consecutive_failures_ - 1, 3));
    next_read_at_ = now + std::min(delay, kMaxRetryDelay);
    return false;
  }
  consecutive_failures_ = 0;
  if (listing_in_flight_ != listing_) return false;
  if (read.outcome == ReadOutcome::kTrimmed) {
    Restart(now);
    return false;
  }
  if (read.newest) {
    // The pages are not a consistent snapshot, so records written since the first page was read are
    // read again.
    next_offset_ = next_offset_ < 0 ? read.next_offset : std::min(next_offset_, read.next_offset);
    after_key_ = read.last_key;
    next_read_at_ = now;
    if (read.has_more) return true;
    loaded_ = true;
  } else {
    next_offset_ = read.next_offset;
    next_read_at_ = read.has_more ? now : read_started_at_ + period_;
    if (read.has_more) return true;
  }
  fresh_at_ = read_started_at_;
  return true;
}

Duration StreamFollower::UnansweredFor(Time now) const {
  if (consecutive_failures_ > 0) return now - failing_since_;
  return in_flight_ ? now - read_started_at_ : Duration::zero();
}

void StreamFollower::Restart(Time now) {
  ++listing_;
  loaded_ = false;
  next_offset_ = -1;
  after_key_.clear();
  next_read_at_ = now;
}

}  // namespace cactusshelf::jobs
