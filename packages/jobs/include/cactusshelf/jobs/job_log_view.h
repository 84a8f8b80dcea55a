#ifndef CACTUSSHELF_JOBS_JOB_LOG_VIEW_H_
#define CACTUSSHELF_JOBS_JOB_LOG_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusshelf/jobs/job_record.h"

namespace cactusshelf::jobs {

// What the job log says: the jobs, how far they are, and who owns them. Every entry host keeps one.
// Records may be applied repeatedly, but for one key in their order in the log. Not thread-safe.
class JobLogView {
 public:
  struct Entry {
    std::shared_ptr<const SubmittedJob> job;  // Null until the submission was read.
    bool cancelled = false;
    JobProgress progress;
  };

  // `offset` is that of the record.
  void Apply(JobLogRecord record, std::int64_t offset);

  // Null if the job was not accepted, or is forgotten.
  const Entry* Find(const JobKey& key) const;

  // The state to show for `entry`.
  static JobState StateOf(const Entry& entry);

  // Accepted jobs of `queue` that have not begun and are not over.
  int PendingJobCount(const std::string& queue) const;

  const std::unordered_map<JobKey, Entry>& entries() const { return entries_; }
  // The present owner, with its epoch; of generation 0 if there was none.
  const OwnerRecord& owner() const { return owner_; }
  const std::vector<std::string>& roster() const { return roster_; }
  const NeighbourRecord& neighbours() const { return neighbours_; }
  // Entry hosts that ever announced themselves, by name. Only the first cell's log holds them.
  const std::map<std::string, HostRecord>& hosts() const { return hosts_; }
  // Grows with each announcement.
  std::uint64_t host_announcement_count() const { return host_announcements_; }
  // Number of cells; 0 while it is not decided. Only the first cell's log holds it.
  int cell_count() const { return cell_count_; }

 private:
  void ApplyRecord(OwnerRecord record, std::int64_t offset);
  void ApplyRecord(RosterRecord record, std::int64_t offset);
  void ApplyRecord(const LayoutRecord& record, std::int64_t offset);
  void ApplyRecord(NeighbourRecord record, std::int64_t offset);
  void ApplyRecord(HostRecord record, std::int64_t offset);
  void ApplyRecord(SubmittedJob record, std::int64_t offset);
  void ApplyRecord(const CancelRecord& record, std::int64_t offset);
  void ApplyRecord(ProgressRecord record, std::int64_t offset);
  void ApplyRecord(const DropRecord& record, std::int64_t offset);

  std::unordered_map<JobKey, Entry> entries_;
  struct Claim {
    OwnerRecord record;
    std::int64_t offset = 0;
  };
  std::map<std::string, Claim> claims_;  // The newest of each host.
  OwnerRecord owner_;
  std::vector<std::string> roster_;
  NeighbourRecord neighbours_;
  std::map<std::string, HostRecord> hosts_;
  std::uint64_t host_announcements_ = 0;
  int cell_count_ = 0;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_JOB_LOG_VIEW_H_
