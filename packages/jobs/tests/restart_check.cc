#include "restart_check.h"

#include <algorithm>

namespace cactusshelf::jobs {
namespace {

constexpr std::int64_t kRequiredCopies = 2;

// How often `need` fits into `free`, at most kRequiredCopies.
std::int64_t CopiesThatFit(const Resources& need, const Resources& free) {
  Resources used = need;
  std::int64_t n = 0;
  while (n < kRequiredCopies && Fits(used, free)) {
    ++n;
    used += need;
  }
  return n;
}

std::string Seconds(Duration duration) { return std::to_string(ToMilliseconds(duration)) + " ms"; }

}  // namespace

void RestartCheck::NoteStart(const TaskRef& task, Time time) {
  State& state = states_[task];
  state.has_run = true;
  state.last_run_at = time;
  state.reported = false;
  state.sample = samples_;
}

Time RestartCheck::RoomSince(const Resources& need, const std::vector<Resources>& free, Time now) {
  Room& room = rooms_[{need.milliprocessors, need.memory_bytes, need.accelerators}];
  if (room.sampled_at == now) return room.since;
  // Without a sample of this need just before, it is not known whether there was room then.
  const bool known = room.sampled_at == last_sample_at_ && room.since != Time::max();
  std::int64_t copies = 0;
  for (const Resources& it : free) {
    copies += CopiesThatFit(need, it);
    if (copies >= kRequiredCopies) break;
  }
  if (copies < kRequiredCopies) {
    room.since = Time::max();
  } else if (!known) {
    room.since = now;
  }
  room.sampled_at = now;
  return room.since;
}

std::vector<std::string> RestartCheck::Sample(Time now, const std::vector<Task>& tasks,
                                              const std::vector<Resources>& free) {
  ++samples_;
  std::vector<std::string> overdue;
  for (const Task& task : tasks) {
    State& state = states_[task.ref];
    state.sample = samples_;
    if (task.running) state = {true, now, false, samples_};
    const Time room_since = RoomSince(task.need, free, now);
    if (!state.has_run || state.reported || room_since == Time::max()) continue;
    const Duration absent = now - state.last_run_at;
    const bool due = absent >= kRestartTime + kOverdueTime;
    const bool calm = now - disturbed_at_ >= kOverdueTime + kCalmTime;
    if (!due || !calm || now - room_since < kOverdueTime) continue;
    state.reported = true;
    overdue.push_back(ToString(task.ref) + ": has not run for " + Seconds(absent) +
                      ", with room and without a disturbance for " + Seconds(now - disturbed_at_));
  }
  std::erase_if(states_, [this](const auto& it) { return it.second.sample + 1 < samples_; });
  last_sample_at_ = now;
  return overdue;
}

}  // namespace cactusshelf::jobs
