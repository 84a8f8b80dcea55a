#include "cactusshelf/connection/request_queue.h"

#include <cassert>

namespace cactusshelf {

namespace {

// Bursts shorter than this are served in order of their deadlines.
constexpr Duration kOverloadAfter = std::chrono::milliseconds(500);
// With the newest served first, a request that waited for this part of its time is unlikely to
// be served at all; the caller learns it while there is time to try elsewhere.
constexpr int kShedFraction = 4;

Time ShedAt(const QueuedRequest& request) {
  return request.enqueued + (request.deadline - request.enqueued) / kShedFraction;
}

}  // namespace

RequestQueue::RequestQueue(std::size_t capacity) : capacity_(capacity) { assert(capacity > 0); }

std::optional<QueuedRequest> RequestQueue::Push(const QueuedRequest& request) {
  assert(!sequences_.contains(request.token));
  if (entries_.empty()) {
    busy_since_ = request.enqueued;
  }
  const Sequence sequence = next_++;
  entries_.emplace(sequence, request);
  sequences_.emplace(request.token, sequence);
  Level& level = levels_[request.priority];
  level.by_deadline.emplace(request.deadline, sequence);
  level.by_arrival.insert(sequence);
  by_deadline_.emplace(request.deadline, sequence);
  if (entries_.size() <= capacity_) {
    return std::nullopt;
  }
  return RemoveSequence(Last(request.enqueued));
}

const QueuedRequest* RequestQueue::Front(Time now) const {
  if (levels_.empty()) {
    return nullptr;
  }
  const Level& level = levels_.begin()->second;
  const Sequence first =
      Overloaded(now) ? *level.by_arrival.rbegin() : level.by_deadline.begin()->second;
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
  while (!entries_.empty() && Overloaded(now) && ShedAt(entries_.begin()->second) < now) {
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
  const Time shed = std::max(ShedAt(entries_.begin()->second), *busy_since_ + kOverloadAfter);
  return std::min(by_deadline, shed) + kTick;
}

bool RequestQueue::Overloaded(Time now) const {
  return busy_since_ && now - *busy_since_ >= kOverloadAfter;
}

std::size_t RequestQueue::CountAtLeast(int priority) const {
  std::size_t count = 0;
  for (const auto& [value, level] : levels_) {
    if (value < priority) {
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
    busy_since_.reset();
  }
  return request;
}

RequestQueue::Sequence RequestQueue::Last(Time now) const {
  const Level& level = levels_.rbegin()->second;
  return Overloaded(now) ? *level.by_arrival.begin() : level.by_deadline.rbegin()->second;
}

}  // namespace cactusshelf
