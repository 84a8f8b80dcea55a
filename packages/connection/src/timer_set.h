#ifndef CACTUSSHELF_CONNECTION_SRC_TIMER_SET_H_
#define CACTUSSHELF_CONNECTION_SRC_TIMER_SET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

enum class TimerKind : std::uint8_t {
  kTick,          // Slot demand and other periodic work.
  kCallDeadline,  // The id is a RequestToken.
  kClaimResend,   // The id is a RequestToken.
  kAttemptLate,   // The id is an AttemptId, also for the next two kinds.
  kAttemptOverdue,
  kAttemptCancelTimeout,
  kQueue,  // The id is the number of a service.
};

using TimerKey = std::pair<TimerKind, std::uint64_t>;

// Set of timers, identified by key. Arming an armed key replaces its time. Not thread-safe.
class TimerSet {
 public:
  void Arm(TimerKey key, Time at) {
    Disarm(key);
    times_.emplace(key, at);
    order_.emplace(at, key);
  }

  void Disarm(TimerKey key) {
    const auto it = times_.find(key);
    if (it == times_.end()) {
      return;
    }
    order_.erase({it->second, key});
    times_.erase(it);
  }

  std::optional<Time> Next() const {
    if (order_.empty()) {
      return std::nullopt;
    }
    return order_.begin()->first;
  }

  // Removes and returns the earliest timer that is due; empty if there is none.
  std::optional<TimerKey> TakeDue(Time now) {
    if (order_.empty() || order_.begin()->first > now) {
      return std::nullopt;
    }
    const TimerKey key = order_.begin()->second;
    Disarm(key);
    return key;
  }

 private:
  std::map<TimerKey, Time> times_;
  std::set<std::pair<Time, TimerKey>> order_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_TIMER_SET_H_
