#include "record_appender.h"

#include <algorithm>
#include <utility>

namespace cactusshelf {

void RecordAppender::Add(LogRecord record) { queue_.push_back(std::move(record)); }

std::optional<node_effect::AppendToLog> RecordAppender::Poll(Time now) {
  if (in_flight_ || queue_.empty() || now < next_append_) {
    return std::nullopt;
  }
  in_flight_ = AppendToken{++last_token_};
  next_append_ = now + kMinAppendInterval;
  return node_effect::AppendToLog{*in_flight_, EncodeRecord(queue_.front())};
}

std::optional<LogRecord> RecordAppender::OnDone(Time /*now*/, AppendToken token) {
  if (!IsInFlight(token)) {
    return std::nullopt;
  }
  in_flight_.reset();
  retry_delay_ = kInitialRetryDelay;
  LogRecord record = std::move(queue_.front());
  queue_.pop_front();
  return record;
}

void RecordAppender::OnFailed(Time now, AppendToken token) {
  if (!IsInFlight(token)) {
    return;
  }
  in_flight_.reset();
  next_append_ = now + retry_delay_;
  retry_delay_ = std::min(retry_delay_ * 2, kMaxRetryDelay);
}

std::optional<Time> RecordAppender::NextWakeup() const {
  if (in_flight_ || queue_.empty()) {
    return std::nullopt;
  }
  return next_append_;
}

void RecordAppender::RemoveQueued(const std::function<bool(const LogRecord&)>& is_obsolete) {
  const auto first_queued = queue_.begin() + (in_flight_ && !queue_.empty() ? 1 : 0);
  queue_.erase(std::remove_if(first_queued, queue_.end(), is_obsolete), queue_.end());
}

}  // namespace cactusshelf
