#include "batch_writer.h"

#include <utility>

namespace cactusshelf::jobs {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(150);

}  // namespace

void BatchWriter::Begin(std::vector<KeyedRecord> records, Time now) {
  records_ = std::move(records);
  busy_ = true;
  unanswered_ = false;
  started_ = now;
  next_try_ = now;
}

std::optional<job_effect::Append> BatchWriter::Next(Time now) {
  if (!busy_ || in_flight_ || now < next_try_) return std::nullopt;
  in_flight_ = true;
  append_ = next_append_++;
  return job_effect::Append{0, append_, records_, producer_, epoch_, sequence_};
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
      next_try_ = now + kRetryDelay;
      if (unanswered_ || persistence_ == Persistence::kUntilStored) return Result::kRetry;
      busy_ = false;
      records_.clear();
      return Result::kRefused;
    case AppendOutcome::kOutOfOrder:
      if (persistence_ == Persistence::kUntilStored) {
        busy_ = false;
        return Result::kFenced;
      }
      ++epoch_;
      sequence_ = 0;
      next_try_ = now + kRetryDelay;
      return Result::kRetry;
    case AppendOutcome::kNoAnswer:
      unanswered_ = true;
      next_try_ = now + kRetryDelay;
      return Result::kRetry;
  }
  return Result::kRetry;
}

}  // namespace cactusshelf::jobs
