#ifndef CACTUSSHELF_STANDINS_LOG_STORE_H_
#define CACTUSSHELF_STANDINS_LOG_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Records of one stream with consecutive offsets. Old records are dropped by count, by age or by
// TrimTo().
class LogStore {
 public:
  struct Record {
    std::uint64_t offset = 0;
    WallTime time;
    std::string data;
  };

  // Returns the offset of the record. Records have non-decreasing times: a record gets the time of
  // the previous one if `now` is earlier.
  std::uint64_t Append(std::string data, WallTime now);

  // Returns up to `limit` retained records, starting at offset `from`.
  std::vector<Record> Read(std::uint64_t from, std::size_t limit) const;

  // Offset of the first retained record, or end() if there is none.
  std::uint64_t first() const { return first_; }
  // Offset of the next record to be appended.
  std::uint64_t end() const { return first_ + records_.size(); }

  // Drops the records before `offset`; an `offset` past the end drops all records.
  void TrimTo(std::uint64_t offset);

  // Drops all but the newest `max_count` records, and records older than `max_age`. A `max_age` of
  // zero means no age limit.
  void ApplyRetention(std::size_t max_count, Duration max_age, WallTime now);

 private:
  std::uint64_t first_ = 0;
  std::deque<Record> records_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_LOG_STORE_H_
