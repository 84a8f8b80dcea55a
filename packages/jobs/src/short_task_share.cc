#include "short_task_share.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactusshelf::jobs {
namespace {

// Limit of the share, as a fraction of the pool's processors.
constexpr double kMaxFraction = 0.15;
// Time constant with which a peak of the demand is forgotten. Short tasks arrive in groups, so a
// peak is expected to recur within this time.
constexpr Duration kDemandMemory = std::chrono::seconds(10);
// Room that has been idle for this time is not kept for short tasks.
constexpr Duration kMaxIdleTime = std::chrono::seconds(2);

}  // namespace

void ShortTaskShare::BeginPass(std::int64_t capacity, std::int64_t used, std::int64_t waiting,
                               Time now) {
  const Duration elapsed = last_pass_at_ ? now - *last_pass_at_ : Duration::zero();
  const double decay = std::exp(-std::chrono::duration<double>(elapsed) /
                                std::chrono::duration<double>(kDemandMemory));
  capacity_ = capacity;
  used_ = used;
  recent_demand_ = std::max(static_cast<double>(used + waiting), recent_demand_ * decay);
  if (!std::exchange(room_idle_, false))
    room_idle_since_.reset();
  else if (!room_idle_since_)
    room_idle_since_ = last_pass_at_;
  last_pass_at_ = now;
}

bool ShortTaskShare::YieldsRoom(Time now) const {
  return room_idle_since_ && now - *room_idle_since_ >= kMaxIdleTime;
}

std::int64_t ShortTaskShare::Size() const {
  const auto capacity = static_cast<double>(capacity_);
  const double min = capacity * min_fraction_;
  const double max = std::max(capacity * kMaxFraction, min);
  return static_cast<std::int64_t>(std::clamp(recent_demand_, min, max));
}

std::int64_t ShortTaskShare::Unused() const { return std::max<std::int64_t>(Size() - used_, 0); }

}  // namespace cactusshelf::jobs
