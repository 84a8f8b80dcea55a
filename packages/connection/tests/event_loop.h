#ifndef CACTUSSHELF_CONNECTION_TESTS_EVENT_LOOP_H_
#define CACTUSSHELF_CONNECTION_TESTS_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Event loop with virtual time. Events with the same time run in the order of their creation.
class EventLoop {
 public:
  using Event = std::function<void()>;

  Time now() const { return now_; }

  void At(Time time, Event event) {
    queue_.push(Item{std::max(time, now_), next_++, std::move(event)});
  }
  void After(Duration delay, Event event) { At(now_ + delay, std::move(event)); }

  void RunUntil(Time end) {
    while (!queue_.empty() && queue_.top().time <= end) {
      // top() returns a const reference; moving out of it is safe because pop() follows.
      Event event = std::move(const_cast<Item&>(queue_.top()).event);
      now_ = queue_.top().time;
      queue_.pop();
      event();
    }
    now_ = end;
  }

 private:
  struct Item {
    Time time;
    std::uint64_t number;
    Event event;

    bool operator<(const Item& other) const {
      return std::pair(time, number) > std::pair(other.time, other.number);
    }
  };

  Time now_{};
  std::uint64_t next_ = 0;
  std::priority_queue<Item> queue_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_TESTS_EVENT_LOOP_H_
