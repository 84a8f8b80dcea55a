#ifndef CACTUSSHELF_JOBS_TESTS_RESTART_CHECK_H_
#define CACTUSSHELF_JOBS_TESTS_RESTART_CHECK_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "cactusshelf/jobs/job.h"

namespace cactusshelf::jobs {

// Checks the promise for long-running tasks that have stopped: such a task runs again within 6 s,
// and is overdue once it has not run for 3 s more, if during these 3 s the workers had room for it
// twice over and nothing was disturbed then or in the 4 s before. The owner of the check samples a
// system at short intervals. Not thread-safe.
class RestartCheck {
 public:
  // Time within which a task that has stopped has to run again.
  static constexpr Duration kRestartTime = std::chrono::seconds(6);
  // Time after kRestartTime for which a task has not run when it is overdue.
  static constexpr Duration kOverdueTime = std::chrono::seconds(3);
  // Time before kOverdueTime in which nothing may have been disturbed.
  static constexpr Duration kCalmTime = std::chrono::seconds(4);

  // A long-running task whose turn has come and that nobody has asked to cancel.
  struct Task {
    TaskRef ref;
    Resources need;
    bool running = false;  // On a worker that is up, reachable or not.
  };

  // A fault or planned change began, ended or went on at `time`.
  void NoteDisturbance(Time time) { disturbed_at_ = std::max(disturbed_at_, time); }

  // A run of `task` began at `time`. Needed for runs that end between two samples.
  void NoteStart(const TaskRef& task, Time time);

  // Takes a sample at `now`, which must not be before the last one. `free` is the free capacity of
  // each worker that may start tasks. A task that is not in `tasks` is forgotten. Returns the tasks
  // that became overdue, with their times; each is returned once after each of its runs.
  std::vector<std::string> Sample(Time now, const std::vector<Task>& tasks,
                                  const std::vector<Resources>& free);

 private:
  struct State {
    bool has_run = false;
    Time last_run_at;
    bool reported = false;
    std::uint64_t sample = 0;  // The last sample with this task.
  };

  // Beginning of the time until `now` in which there was room for `need` twice over; Time::max() if
  // there is none now.
  Time RoomSince(const Resources& need, const std::vector<Resources>& free, Time now);

  std::map<TaskRef, State> states_;
  struct Room {
    Time since = Time::max();
    Time sampled_at;
  };
  std::map<std::array<std::int64_t, 3>, Room> rooms_;  // By need.
  Time disturbed_at_;
  Time last_sample_at_;
  std::uint64_t samples_ = 0;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_TESTS_RESTART_CHECK_H_
