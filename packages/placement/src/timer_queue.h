#ifndef CACTUSSHELF_PLACEMENT_SRC_TIMER_QUEUE_H_
#define CACTUSSHELF_PLACEMENT_SRC_TIMER_QUEUE_H_

#include <map>
#include <optional>
#include <utility>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Events ordered by due time, and by insertion for the same time.
// Not thread-safe.
template <typename Event>
class TimerQueue {
 public:
  void Add(Time at, Event event) { events_.emplace(at, std::move(event)); }
  void Clear() { events_.clear(); }

  std::optional<Time> NextDue() const {
    return events_.empty() ? std::nullopt : std::optional<Time>(events_.begin()->first);
  }

  // Removes and returns the first event that is due, if any.
  std::optional<Event> PopDue(Time now) {
    if (events_.empty() || events_.begin()->first > now) {
      return std::nullopt;
    }
    Event event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    return event;
  }

 private:
  std::multimap<Time, Event> events_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_TIMER_QUEUE_H_
