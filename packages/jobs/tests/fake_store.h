#ifndef CACTUSSHELF_JOBS_TESTS_FAKE_STORE_H_
#define CACTUSSHELF_JOBS_TESTS_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/jobs/job_event.h"

namespace cactusshelf::jobs {

// In-memory job logs of the cells and list of workers, each a log of keyed records. Reads return
// either pages of the newest record of each key or the records from an offset on. Appends of
// producers with an old epoch are fenced. Calls take effect immediately; JobSimulation adds delays
// and drops answers.
class FakeStore {
 public:
  static constexpr std::size_t kMaxPageRecords = 500;

  job_event::AppendDone Append(const job_effect::Append& append);
  job_event::StreamRead Read(const job_effect::ReadRecords& read);
  job_event::StreamRead Read(const job_effect::ReadNewest& read);

  void SetConfiguration(QueueTable table) { configuration_ = std::move(table); }
  void ListWorker(const WorkerEntry& entry);
  void UnlistWorker(const std::string& id);
  bool IsListed(const std::string& id) const { return listed_.contains(id); }

  // Appends with a larger record are refused.
  void SetMaxRecordBytes(std::size_t n) { max_record_bytes_ = n; }
  // Limits the pages of newest records.
  void SetMaxPageRecords(std::size_t n) { max_page_records_ = n; }
  // From now on only the newest record of each key is left of the records stored so far. A read
  // from an offset before them is answered as trimmed.
  void TrimJobs(int cell) { Trim(logs_[{Stream::kJobs, cell}]); }
  void TrimWorkers() { Trim(logs_[{Stream::kWorkers, 0}]); }

  const std::vector<KeyedRecord>& log(int cell) { return logs_[{Stream::kJobs, cell}].records; }

 private:
  struct Producer {
    std::int64_t epoch = -1;
    std::int64_t next_sequence = 0;
    std::map<std::int64_t, std::int64_t> offsets;  // Offsets of this epoch's appends, by sequence.
  };

  struct Log {
    std::vector<KeyedRecord> records;  // All that were ever stored.
    std::int64_t first_offset = 0;     // Of the records that a read from an offset returns.

    std::int64_t end() const { return static_cast<std::int64_t>(records.size()); }
  };

  static void Trim(Log& log) { log.first_offset = log.end(); }
  void AddRecord(const KeyedRecord& record, job_event::StreamRead& result) const;

  std::map<std::pair<Stream, int>, Log> logs_;  // By stream and cell.
  std::map<std::pair<int, std::string>, Producer> producers_;
  QueueTable configuration_;
  // A record of the list of workers holds the index of its entry as text, or nothing for a removal.
  std::vector<WorkerEntry> worker_entries_;
  std::set<std::string> listed_;
  std::size_t max_page_records_ = kMaxPageRecords;
  std::size_t max_record_bytes_ = kMaxRecordBytes;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_TESTS_FAKE_STORE_H_
