#ifndef CACTUSSHELF_JOBS_TESTS_FAKE_STORE_H_
#define CACTUSSHELF_JOBS_TESTS_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/jobs/job_event.h"

namespace cactusshelf::jobs {

// In-memory job logs of the cells. Reads can return the newest record of each key, and appends of
// producers with an old epoch are fenced. Calls take effect immediately; JobSimulation adds delays
// and drops answers.
class FakeStore {
 public:
  job_event::AppendDone Append(const job_effect::Append& append);
  job_event::StreamRead Read(const job_effect::ReadRecords& read);
  job_event::StreamRead Read(const job_effect::ReadNewest& read);

  void SetConfiguration(QueueTable table) { configuration_ = std::move(table); }
  void ListWorker(const WorkerEntry& entry) {
    workers_[entry.id] = entry;
    unlisted_workers_.erase(entry.id);
  }
  void UnlistWorker(const std::string& id) {
    workers_.erase(id);
    unlisted_workers_.insert(id);
  }

  const std::vector<KeyedRecord>& log(int cell) { return logs_[cell]; }

 private:
  struct Producer {
    std::int64_t epoch = -1;
    std::int64_t next_sequence = 0;
    std::map<std::int64_t, std::int64_t> offsets;  // Offsets of this epoch's appends, by sequence.
  };

  void FillListings(Stream stream, job_event::StreamRead& result) const;

  std::map<int, std::vector<KeyedRecord>> logs_;  // By cell.
  std::map<std::pair<int, std::string>, Producer> producers_;
  QueueTable configuration_;
  std::map<std::string, WorkerEntry> workers_;
  std::set<std::string> unlisted_workers_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_TESTS_FAKE_STORE_H_
