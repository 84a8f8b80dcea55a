#include "record_appender.h"

#include <algorithm>
#include <utility>

namespace cactusshelf {

void RecordAppender::Add(LogRecord record) { queue_.push_back(std::move(record)); }

std::optional<node_effect::AppendToLog> RecordAppender::Poll(Time now) {
  if (in_flight_ || queue_.empty() || now < not_before_) {
    return std::nullopt;
  }
  in_flight_ = AppendToken{++last_token_};
  not_before_ = now + kMinInterval;
  return node_effect::AppendToLog{*in_flight_, EncodeRecord(queue_.front())};
}

std::optional<LogRecord> RecordAppender::OnDone(Time /*now*/, AppendToken token) {
  if (!IsCurrent(token)) {
    return std::nullopt;
  }
  in_flight_.reset();
  retry_delay_ = kFirstRetry;
  LogRecord record = std::move(queue_.front());
  queue_.pop_front();
  return record;
}

void RecordAppender::OnFailed(Time now, AppendToken token) {
  if (!IsCurrent(token)) {
    return;
  }
  in_flight_.reset();
  not_before_ = now + retry_delay_;
  retry_delay_ = std::min(retry_delay_ * 2, kLastRetry);
}

std::optional<Time> RecordAppender::NextWakeup() const {
  if (in_flight_ || queue_.empty()) {
    return std::nullopt;
  }
  return not_before_;
}

void RecordAppender::DropWaiting(const std::function<bool(const LogRecord&)>& unneeded) {
  const auto first_waiting = queue_.begin() + (in_flight_ && !queue_.empty() ? 1 : 0);
  queue_.erase(std::remove_if(first_waiting, queue_.end(), unneeded), queue_.end());
}

}  // namespace cactusshelf
