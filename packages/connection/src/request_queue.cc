#include "cactusshelf/connection/request_queue.h"

#include <cassert>

namespace cactusshelf {

namespace {

// A queue that is non-empty for less than this time holds a burst, which is served in order of
// deadlines.
constexpr Duration kOverloadThreshold = std::chrono::milliseconds(500);
// In LIFO order, a request that has waited for 1/4 of its time is unlikely to be served at all. The
// request is refused while its caller still has time to try elsewhere.
constexpr int kShedTimeoutDivisor = 4;

Time ShedTime(const QueuedRequest& request) {
  return request.enqueued + (request.deadline - request.enqueued) / kShedTimeoutDivisor;
}

}  // namespace

RequestQueue::RequestQueue(std::size_t capacity) : capacity_(capacity) { assert(capacity > 0); }

std::optional<QueuedRequest> RequestQueue::Push(const QueuedRequest& request) {
  assert(!sequences_.contains(request.token));
  if (entries_.empty()) {
    nonempty_since_ = request.enqueued;
  }
  const Sequence sequence = next_sequence_++;
  entries_.emplace(sequence, request);
  sequences_.emplace(request.token, sequence);
  Level& level = levels_[request.priority];
  level.by_deadline.emplace(request.deadline, sequence);
  level.by_arrival.insert(sequence);
  by_deadline_.emplace(request.deadline, sequence);
  if (entries_.size() <= capacity_) {
    return std::nullopt;
  }
  return RemoveSequence(LastInServingOrder(request.enqueued));
}

const QueuedRequest* RequestQueue::Front(Time now) const {
  if (levels_.empty()) {
    return nullptr;
  }
  const Level& level = levels_.begin()->second;
  const Sequence first =
      IsOverloaded(now) ? *level.by_arrival.rbegin() : level.by_deadline.begin()->second;
  return &entries_.at(first);
}

void RequestQueue::Remove(RequestToken token) {
  const auto it = sequences_.find(token);
  if (it != sequences_.end()) {
    RemoveSequence(it->second);
  }
}

std::vector<QueuedRequest> RequestQueue::TakeExpired(Time now, Duration service_time) {
  std::vector<QueuedRequest> expired;
  while (!by_deadline_.empty() && by_deadline_.begin()->first - service_time < now) {
    expired.push_back(RemoveSequence(by_deadline_.begin()->second));
  }
  while (!entries_.empty() && IsOverloaded(now) && ShedTime(entries_.begin()->second) < now) {
    expired.push_back(RemoveSequence(entries_.begin()->first));
  }
  return expired;
}

std::optional<Time> RequestQueue::NextExpiry(Duration service_time) const {
  if (entries_.empty()) {
    return std::nullopt;
  }
  constexpr Duration kTick = Duration(1);
  const Time by_deadline = by_deadline_.begin()->first - service_time;
  const Time shed =
      std::max(ShedTime(entries_.begin()->second), *nonempty_since_ + kOverloadThreshold);
  return std::min(by_deadline, shed) + kTick;
}

bool RequestQueue::IsOverloaded(Time now) const {
  return nonempty_since_ && now - *nonempty_since_ >= kOverloadThreshold;
}

std::size_t RequestQueue::CountWithPriorityAtLeast(int priority) const {
  std::size_t count = 0;
  for (const auto& [level_priority, level] : levels_) {
    if (level_priority < priority) {
      break;
    }
    count += level.by_arrival.size();
  }
  return count;
}

std::vector<RequestToken> RequestQueue::Tokens() const {
  std::vector<RequestToken> tokens;
  for (const auto& [sequence, request] : entries_) {
    tokens.push_back(request.token);
  }
  return tokens;
}

QueuedRequest RequestQueue::RemoveSequence(Sequence sequence) {
  const auto it = entries_.find(sequence);
  const QueuedRequest request = it->second;
  const auto level = levels_.find(request.priority);
  level->second.by_deadline.erase({request.deadline, sequence});
  level->second.by_arrival.erase(sequence);
  if (level->second.by_arrival.empty()) {
    levels_.erase(level);
  }
  by_deadline_.erase({request.deadline, sequence});
  sequences_.erase(request.token);
  entries_.erase(it);
  if (entries_.empty()) {
    nonempty_since_.reset();
  }
  return request;
}

RequestQueue::Sequence RequestQueue::LastInServingOrder(Time now) const {
  const Level& level = levels_.rbegin()->second;
  return IsOverloaded(now) ? *level.by_arrival.begin() : level.by_deadline.rbegin()->second;
}

}  // namespace cactusshelf
