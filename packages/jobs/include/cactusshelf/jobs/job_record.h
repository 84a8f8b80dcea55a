#ifndef CACTUSSHELF_JOBS_JOB_RECORD_H_
#define CACTUSSHELF_JOBS_JOB_RECORD_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cactusshelf/jobs/job.h"

// Records of the job log. The log is compacted by key: the newest record of each key is kept
// indefinitely, and a record without a value removes its key. The newest records of all keys
// therefore are the complete state.
namespace cactusshelf::jobs {

struct KeyedRecord {
  std::string key;
  std::string value;        // Empty: the key is removed.
  std::int64_t offset = 0;  // Set for records that were read.
};

// Largest record that the store takes, with its key and one byte for the length of the key.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{256} << 10;

// False for a record that the store refuses, and with it all others of the same append, once
// `extra_bytes` are added. Thread-safe.
inline bool IsStorable(const KeyedRecord& record, std::size_t extra_bytes = 0) {
  return 1 + record.key.size() + record.value.size() + extra_bytes <= kMaxRecordBytes;
}

// Ownership of a cell, or a claim to it. Of the claims of one generation the first in the log is
// valid. The epoch is the offset of that claim plus one and serves as the fencing token of the
// owner's orders.
struct OwnerRecord {
  std::int64_t epoch = 0;       // 0 in a claim.
  std::int64_t generation = 0;  // Number of owners up to and including this one.
  std::string member;
  std::string host;
  bool released = false;  // The owner has stopped; another may claim without waiting.
  // All owners from this generation up to this one grant bound leases only; 0 in records of earlier
  // versions.
  std::int64_t bound_since = 0;
  // All owners from this generation up to this one keep to the stored RosterLeasesRecord; 0 in
  // records of earlier versions.
  std::int64_t limits_since = 0;
  // All owners from this generation up to this one need the votes of the stored VotingHostsRecord
  // for what they grant without the store; 0 in records of earlier versions.
  std::int64_t host_votes_since = 0;
};

// Entry hosts that vote on whether an owner that does not reach the store may go on. Stored only by
// an owner whose predecessors have all stopped.
struct VotingHostsRecord {
  std::int64_t generation = 0;                 // Of the owner that stored the record.
  std::map<std::string, std::string> members;  // The voting process of each host.
};

// Workers that may be running tasks on orders of the owner.
struct RosterRecord {
  std::vector<std::string> workers;
};

// Workers of the roster on which no other than the given tasks may run. Stored right after its
// roster record, and void with any other.
struct RosterTasksRecord {
  std::map<std::string, std::vector<TaskRef>> tasks;  // By worker.
};

// Workers of the roster on which nothing runs longer than the given time after the record was
// stored: the owner does not reach them, and grants no lease there until a later roster is stored.
// Stored after its roster record in the same append, and void with any later roster.
struct RosterLeasesRecord {
  std::int64_t generation = 0;                // Of the owner that stored the record.
  std::map<std::string, Duration> remaining;  // By worker; stored in milliseconds, rounded up.
  // Workers of which the tasks that RosterTasksRecord lists there run nowhere else, and start
  // nowhere else until a later roster is stored.
  std::set<std::string> exclusive;
};

// The longest lease that owners have granted and that may still last.
struct LeaseRecord {
  Duration lease{};  // Stored in milliseconds, rounded up.
  // If not bound: the incarnations, by worker, that hold only leases given by their own clock.
  std::map<std::string, std::int64_t> incarnations;
  // All leases were granted on connections that had answered as the incarnation by whose clock they
  // are given. Not set in records of earlier versions, whose owners leave a later record as it is.
  bool bound = false;
  std::int64_t generation = 0;  // Of the owner that stored the record; 0 if it is not known.
};

// Number of cells into which jobs and workers are divided; decided once.
struct CellCountRecord {
  int cells = 0;
};

// An entry host that relays owners' orders to workers. The record remains after the host has ended.
struct HostRecord {
  std::string host;
  std::string peer_address;
  std::string domain;
  int milliprocessors = 0;
  // The host sends orders only to the incarnation that they name. Hosts of earlier versions do not.
  bool binds_orders = true;
  // The host understands HandOverRecord. Hosts of earlier versions do not.
  bool hands_over_jobs = true;
  // The host reads progress records with JobProgress::step_counts. Hosts of earlier versions take
  // their tasks for not done.
  bool reads_task_numbers = true;
  friend bool operator==(const HostRecord&, const HostRecord&) = default;
};

// Interference of a best-effort image with a serving image on the same worker, as estimated by the
// owner: the increase in the serving image's pressure per processor that the best-effort image
// uses.
struct InterferenceEffect {
  std::string serving_image;
  std::string best_effort_image;
  double mean = 0;
  double deviation = 0;
};

struct InterferenceRecord {
  std::vector<InterferenceEffect> effects;
};

struct CancelRecord {
  JobKey key;
};

// Another cell runs the job, of which nothing was ever started here. Stored once, by the owner of
// the cell to which the job's name belongs; that cell's log keeps the submission and the
// cancellation, the other one gets a copy of the submission and the progress.
struct HandOverRecord {
  JobKey key;
  int cell = 0;
};

struct ProgressRecord {
  JobKey key;
  JobProgress progress;
};

// All records of a job have been removed.
struct DropRecord {
  JobKey key;
};

using JobLogRecord =
    std::variant<OwnerRecord, RosterRecord, RosterTasksRecord, RosterLeasesRecord, LeaseRecord,
                 CellCountRecord, HostRecord, InterferenceRecord, VotingHostsRecord, SubmittedJob,
                 CancelRecord, HandOverRecord, ProgressRecord, DropRecord>;

// Thread-safe.
KeyedRecord Encode(const OwnerRecord& record);
KeyedRecord Encode(const RosterRecord& record);
KeyedRecord Encode(const RosterTasksRecord& record);
KeyedRecord Encode(const RosterLeasesRecord& record);
KeyedRecord Encode(const LeaseRecord& record);
KeyedRecord Encode(const CellCountRecord& record);
KeyedRecord Encode(const HostRecord& record);
KeyedRecord Encode(const InterferenceRecord& record);
KeyedRecord Encode(const VotingHostsRecord& record);
KeyedRecord Encode(const SubmittedJob& record);
KeyedRecord Encode(const CancelRecord& record);
KeyedRecord Encode(const HandOverRecord& record);
KeyedRecord Encode(const ProgressRecord& record);

// Returns records that remove all keys of a job. Thread-safe.
std::vector<KeyedRecord> EncodeDrop(const JobKey& key);

// Throws DecodeError for anything that Encode does not produce. Thread-safe.
JobLogRecord DecodeJobLogRecord(const KeyedRecord& record);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_JOB_RECORD_H_
