#ifndef CACTUSSHELF_JOBS_JOB_RECORD_H_
#define CACTUSSHELF_JOBS_JOB_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cactusshelf/jobs/job.h"

// Records of the job log. The log keeps the newest record of each key forever and drops a key
// whose newest record has no value, so the newest records of all keys are the whole state.
namespace cactusshelf::jobs {

struct KeyedRecord {
  std::string key;
  std::string value;        // Empty: the key is dropped.
  std::int64_t offset = 0;  // Of a record that was read.
};

// A process that owns the jobs and workers of this log, or claims to. Of the claims of one
// generation the first in the log holds. The epoch, the offset of that claim plus one, is the
// fencing token of the owner's orders.
struct OwnerRecord {
  std::int64_t epoch = 0;       // 0 in a claim.
  std::int64_t generation = 0;  // Owners so far, this one included.
  std::string member;
  std::string host;
  bool released = false;  // The owner has stopped acting and another may follow at once.
};

// Workers that may run something on orders of the owner.
struct RosterRecord {
  std::vector<std::string> workers;
};

// Number of cells among which jobs and workers are divided, decided once.
struct LayoutRecord {
  int cells = 0;
};

// An entry host that passes on orders of owners to workers. It stays after the host has gone.
struct HostRecord {
  std::string host;
  std::string peer_address;
  std::string domain;
  int milliprocessors = 0;
  friend bool operator==(const HostRecord&, const HostRecord&) = default;
};

// By how much a processor used by one best-effort image raises the pressure of one serving image,
// as the owner has learned it.
struct NeighbourEffect {
  std::string serving_image;
  std::string best_effort_image;
  double mean = 0;
  double deviation = 0;
};

struct NeighbourRecord {
  std::vector<NeighbourEffect> effects;
};

struct CancelRecord {
  JobKey key;
};

struct ProgressRecord {
  JobKey key;
  JobProgress progress;
};

// The job is forgotten.
struct DropRecord {
  JobKey key;
};

using JobLogRecord =
    std::variant<OwnerRecord, RosterRecord, LayoutRecord, HostRecord, NeighbourRecord, SubmittedJob,
                 CancelRecord, ProgressRecord, DropRecord>;

// Thread-safe.
KeyedRecord Encode(const OwnerRecord& record);
KeyedRecord Encode(const RosterRecord& record);
KeyedRecord Encode(const LayoutRecord& record);
KeyedRecord Encode(const HostRecord& record);
KeyedRecord Encode(const NeighbourRecord& record);
KeyedRecord Encode(const SubmittedJob& record);
KeyedRecord Encode(const CancelRecord& record);
KeyedRecord Encode(const ProgressRecord& record);

// The records that drop all keys of a job. Thread-safe.
std::vector<KeyedRecord> EncodeDrop(const JobKey& key);

// Throws DecodeError for anything that Encode does not produce. Thread-safe.
JobLogRecord DecodeJobLogRecord(const KeyedRecord& record);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_JOB_RECORD_H_
