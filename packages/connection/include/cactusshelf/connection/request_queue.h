#ifndef CACTUSSHELF_CONNECTION_REQUEST_QUEUE_H_
#define CACTUSSHELF_CONNECTION_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cactusshelf/base/time.h"
#include "cactusshelf/connection/request.h"

namespace cactusshelf {

struct QueuedRequest {
  RequestToken token{};
  int priority = 0;
  Time enqueued{};
  Time deadline{};
};

// Bounded queue of the requests of one service, ordered by priority and then by deadline.
// After the queue was not empty for a while, it serves the newest first within a priority, so
// that the requests that are served still meet their deadlines. Not thread-safe.
class RequestQueue {
 public:
  explicit RequestQueue(std::size_t capacity);

  // Adds a request. If the queue is full, the request that would be served last is removed and
  // returned; it may be the new one. Precondition: the token is not in the queue.
  std::optional<QueuedRequest> Push(const QueuedRequest& request);

  // The request to serve next, or null.
  const QueuedRequest* Front(Time now) const;

  void Remove(RequestToken token);

  // Removes the requests that cannot be served in time any more: `service_time` before their
  // deadline, and under sustained overload after a quarter of their time.
  std::vector<QueuedRequest> TakeExpired(Time now, Duration service_time);

  // Time at which TakeExpired next has something to return, at the latest.
  std::optional<Time> NextExpiry(Duration service_time) const;

  bool IsOverloaded(Time now) const;

  // Number of requests with this or a higher priority.
  std::size_t CountWithPriorityAtLeast(int priority) const;

  std::vector<RequestToken> Tokens() const;

  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

 private:
  using Sequence = std::uint64_t;
  using ByDeadline = std::set<std::pair<Time, Sequence>>;

  struct Level {
    ByDeadline by_deadline;
    std::set<Sequence> by_arrival;
  };

  QueuedRequest RemoveSequence(Sequence sequence);
  Sequence LastInServingOrder(Time now) const;

  std::size_t capacity_;
  Sequence next_sequence_ = 1;
  std::map<Sequence, QueuedRequest> entries_;
  std::unordered_map<RequestToken, Sequence> sequences_;
  std::map<int, Level, std::greater<>> levels_;
  ByDeadline by_deadline_;
  std::optional<Time> nonempty_since_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_REQUEST_QUEUE_H_
