#include "batch_writer.h"

#include <utility>

namespace cactusshelf::jobs {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(150);

}  // namespace

void BatchWriter::Begin(std::vector<KeyedRecord> records, Time now) {
  records_ = std::move(records);
  busy_ = true;
  has_unanswered_append_ = false;
  batch_started_at_ = now;
  next_attempt_at_ = now;
}

std::optional<job_effect::Append> BatchWriter::NextAppend(Time now) {
  if (!busy_ || in_flight_ || now < next_attempt_at_) return std::nullopt;
  in_flight_ = true;
  append_id_ = next_append_id_++;
  return job_effect::Append{0, append_id_, records_, producer_, epoch_, sequence_};
}

BatchWriter::Result BatchWriter::OnDone(const job_event::AppendDone& done, Time now) {
  in_flight_ = false;
  using job_event::AppendOutcome;
  switch (done.outcome) {
    case AppendOutcome::kDone:
      ++sequence_;
      busy_ = false;
      records_.clear();
      return Result::kStored;
    case AppendOutcome::kFenced:
      busy_ = false;
      return Result::kFenced;
    case AppendOutcome::kRefused:
      next_attempt_at_ = now + kRetryDelay;
      if (has_unanswered_append_ || retry_policy_ == RetryPolicy::kRetryUntilStored)
        return Result::kRetry;
      busy_ = false;
      records_.clear();
      return Result::kRefused;
    case AppendOutcome::kOutOfOrder:
      if (retry_policy_ == RetryPolicy::kRetryUntilStored) {
        busy_ = false;
        return Result::kFenced;
      }
      ++epoch_;
      sequence_ = 0;
      next_attempt_at_ = now + kRetryDelay;
      return Result::kRetry;
    case AppendOutcome::kNoAnswer:
      has_unanswered_append_ = true;
      next_attempt_at_ = now + kRetryDelay;
      return Result::kRetry;
  }
  return Result::kRetry;
}

}  // namespace cactusshelf::jobs
