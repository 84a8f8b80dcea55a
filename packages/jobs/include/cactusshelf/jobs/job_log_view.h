#ifndef CACTUSSHELF_JOBS_JOB_LOG_VIEW_H_
#define CACTUSSHELF_JOBS_JOB_LOG_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusshelf/jobs/job_record.h"

namespace cactusshelf::jobs {

// Materialized view of a cell's job log: the jobs, their progress, and the owner. Every entry host
// keeps one per cell. Records may be applied repeatedly; records of the same key must be applied in
// log order. Not thread-safe.
class JobLogView {
 public:
  struct Entry {
    std::shared_ptr<const SubmittedJob> job;  // Null until the submission has been read.
    bool cancelled = false;
    std::optional<int> handed_over_to;  // The cell that runs the job, if it is another one.
    JobProgress progress;
    std::uint64_t listing = 0;  // Listing in force when a record of the job was last applied.
  };

  // `offset` is the offset of the record in the log.
  void Apply(JobLogRecord record, std::int64_t offset);

  // Sets the number of the listing that the records applied from now on belong to. A listing reads
  // the newest record of each key.
  void SetListing(std::uint64_t listing) { listing_ = listing; }

  // Sets the time at which the records that are applied from now on were read, or a later time.
  void SetReadTime(Time now) { read_at_ = now; }

  // Drops the jobs of which no record was applied in the current listing, and returns their keys.
  // Call once the listing is complete: the records that dropped these jobs can no longer be read.
  std::vector<JobKey> DropJobsMissingFromListing();

  // Null if the job was not accepted or has been dropped.
  const Entry* Find(const JobKey& key) const;

  // State to report to callers of a job that was not handed over.
  static JobState StateOf(const Entry& entry);

  // Jobs that were handed over to another cell, and may lack a submission so far.
  const std::set<JobKey>& JobsHandedOverTo(int cell) const;
  // Number of records applied to such jobs, other than of their end.
  std::uint64_t hand_over_changes() const { return hand_over_changes_; }

  const std::unordered_map<JobKey, Entry>& entries() const { return entries_; }
  // The current owner with its epoch. Generation 0 means that there was no owner yet.
  const OwnerRecord& owner() const { return owner_; }
  const std::vector<std::string>& roster() const { return roster_; }
  // Workers of the roster on which no other than the given tasks may run.
  const std::map<std::string, std::vector<TaskRef>>& roster_tasks() const;
  // What the owner stored of the leases on a worker that it did not reach.
  struct RosterLease {
    Time end;                // Nothing runs there later, on the clock of SetReadTime.
    bool exclusive = false;  // RosterLeasesRecord::exclusive names the worker.
  };

  // Leases on workers of the roster, by worker. Empty unless they are stored with the roster, and
  // all owners since then have kept to them.
  std::map<std::string, RosterLease> RosterLeases() const;
  // Empty until an owner has stored it.
  const LeaseRecord& leases() const { return leases_; }
  const InterferenceRecord& interference() const { return interference_; }
  // Empty until it is stored and all owners since then have kept to it.
  VotingHostsRecord VotingHosts() const;
  // The newest claim of each host with a generation from `first` to `last`.
  std::vector<OwnerRecord> ClaimsOf(std::int64_t first, std::int64_t last) const;
  // All entry hosts that have ever announced themselves, by name. Only the first cell's log holds
  // them.
  const std::map<std::string, HostRecord>& hosts() const { return hosts_; }
  // Number of announcements applied, which changes whenever hosts() may have changed.
  std::uint64_t host_announcement_count() const { return host_announcements_; }
  // Number of cells; 0 until decided. Only the first cell's log holds it.
  int cell_count() const { return cell_count_; }

 private:
  void ApplyRecord(OwnerRecord record, std::int64_t offset);
  void ApplyRecord(RosterRecord record, std::int64_t offset);
  void ApplyRecord(RosterTasksRecord record, std::int64_t offset);
  void ApplyRecord(RosterLeasesRecord record, std::int64_t offset);
  void ApplyRecord(LeaseRecord record, std::int64_t offset);
  void ApplyRecord(const CellCountRecord& record, std::int64_t offset);
  void ApplyRecord(InterferenceRecord record, std::int64_t offset);
  void ApplyRecord(VotingHostsRecord record, std::int64_t offset);
  void ApplyRecord(HostRecord record, std::int64_t offset);
  void ApplyRecord(SubmittedJob record, std::int64_t offset);
  void ApplyRecord(const CancelRecord& record, std::int64_t offset);
  void ApplyRecord(const HandOverRecord& record, std::int64_t offset);
  void ApplyRecord(ProgressRecord record, std::int64_t offset);
  void ApplyRecord(const DropRecord& record, std::int64_t offset);

  Entry& EntryOf(const JobKey& key);
  void Erase(const JobKey& key);

  std::unordered_map<JobKey, Entry> entries_;
  std::map<int, std::set<JobKey>> handed_over_;  // By the cell that runs them.
  std::uint64_t hand_over_changes_ = 0;
  std::uint64_t listing_ = 0;
  struct Claim {
    OwnerRecord record;
    std::int64_t offset = 0;
  };
  std::map<std::string, Claim> claims_;  // The newest claim of each host.
  OwnerRecord owner_;
  std::vector<std::string> roster_;
  std::int64_t roster_offset_ = -1;
  RosterTasksRecord roster_tasks_;
  std::int64_t roster_tasks_offset_ = -1;
  RosterLeasesRecord roster_leases_;
  std::int64_t roster_leases_offset_ = -1;
  Time roster_leases_read_at_;
  Time read_at_;
  LeaseRecord leases_;
  InterferenceRecord interference_;
  VotingHostsRecord voting_hosts_;
  std::map<std::string, HostRecord> hosts_;
  std::uint64_t host_announcements_ = 0;
  int cell_count_ = 0;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_JOB_LOG_VIEW_H_
