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

// Bounded queue of requests of one service, ordered by priority and then by deadline. After the
// queue has been non-empty for 500 ms it is overloaded and serves the newest request first within a
// priority (LIFO), so that the requests that are served still meet their deadlines.
// Not thread-safe.
class RequestQueue {
 public:
  explicit RequestQueue(std::size_t capacity);

  // Adds a request. If the queue is full, removes and returns the request that would be served
  // last, which may be the new one. Precondition: the token is not in the queue.
  std::optional<QueuedRequest> Push(const QueuedRequest& request);

  // The request to serve next, or null.
  const QueuedRequest* Front(Time now) const;

  void Remove(RequestToken token);

  // Removes and returns the requests that can no longer be served in time: those with less than
  // `service_time` left until their deadline and, while the queue is overloaded, those that have
  // waited for a quarter of the time between their arrival in the queue and their deadline.
  std::vector<QueuedRequest> TakeExpired(Time now, Duration service_time);

  // Time by which TakeExpired must be called again; empty if the queue is empty.
  std::optional<Time> NextExpiry(Duration service_time) const;

  bool IsOverloaded(Time now) const;

  // Number of queued requests with at least this priority.
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
