#ifndef CACTUSSHELF_JOBS_SRC_CELL_VIEWS_H_
#define CACTUSSHELF_JOBS_SRC_CELL_VIEWS_H_

#include <string>
#include <vector>

#include "cactusshelf/jobs/job_log_view.h"
#include "stream_follower.h"

namespace cactusshelf::jobs {

// What one process has read of the logs of all cells. Resolves jobs that were handed over: the log
// of the cell of a job's name says which cell runs it, the log of that cell how far it is. Not
// thread-safe.
class CellViews {
 public:
  // Adds the next cell. The arguments must outlive this object or its last use.
  void Add(const JobLogView& view, const StreamFollower& follower) {
    cells_.push_back({&view, &follower});
  }

  // Null if this process does not follow such a cell yet.
  const JobLogView* ViewOf(int cell) const;
  // All records that were stored in the cell's log before this time have been read. Zero if none.
  Time FreshAt(int cell) const;

  // True if reads of the cell's log have failed, or have not been answered, for at least
  // `duration`.
  bool IsUnreadableFor(int cell, Duration duration, Time now) const;

  // The entry of the cell that runs the job: `home`, or the copy in the log of the cell to which
  // the job was handed over. Null while that copy has not been read. `home` is the entry in the log
  // of the cell of the job's name.
  const JobLogView::Entry* RunningEntry(const JobKey& key, const JobLogView::Entry& home) const;

  // State to report to callers. `home` is as for RunningEntry.
  JobState StateOf(const JobKey& key, const JobLogView::Entry& home) const;

  // Number of accepted jobs of `queue` that have neither started nor been cancelled.
  int PendingJobCount(const std::string& queue) const;

 private:
  struct Cell {
    const JobLogView* view = nullptr;
    const StreamFollower* follower = nullptr;
  };

  const Cell* Find(int cell) const;

  std::vector<Cell> cells_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_CELL_VIEWS_H_
