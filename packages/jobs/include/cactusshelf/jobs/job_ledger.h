#ifndef CACTUSSHELF_JOBS_JOB_LEDGER_H_
#define CACTUSSHELF_JOBS_JOB_LEDGER_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusshelf/jobs/job_record.h"

namespace cactusshelf::jobs {

// What the job log says: the jobs, how far they are, and who owns them. Every entry host keeps one.
// Records may be applied repeatedly, but for one key in their order in the log. Not thread-safe.
class JobLedger {
 public:
  struct Entry {
    std::shared_ptr<const SubmittedJob> job;  // Null until the submission was read.
    bool cancelled = false;
    JobProgress progress;
  };

  void Apply(JobLogRecord record);

  // Null if the job was not accepted, or is forgotten.
  const Entry* Find(const JobKey& key) const;

  // The state to show for `entry`.
  static JobState StateOf(const Entry& entry);

  // Accepted jobs of `queue` that have not begun and are not over.
  int PendingJobs(const std::string& queue) const;

  const std::unordered_map<JobKey, Entry>& entries() const { return entries_; }
  const OwnerRecord& owner() const { return owner_; }
  const std::vector<std::string>& roster() const { return roster_; }

 private:
  void ApplyRecord(OwnerRecord record);
  void ApplyRecord(RosterRecord record);
  void ApplyRecord(SubmittedJob record);
  void ApplyRecord(const CancelRecord& record);
  void ApplyRecord(ProgressRecord record);
  void ApplyRecord(const DropRecord& record);

  std::unordered_map<JobKey, Entry> entries_;
  OwnerRecord owner_;
  std::vector<std::string> roster_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_JOB_LEDGER_H_
