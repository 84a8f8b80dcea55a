#ifndef CACTUSSHELF_STANDINS_LOG_STORE_H_
#define CACTUSSHELF_STANDINS_LOG_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Records of one stream with consecutive offsets, retained by count, by age and by request.
class LogStore {
 public:
  struct Record {
    std::uint64_t offset = 0;
    WallTime time;
    std::string data;
  };

  // Returns the offset of the record. The times of records never decrease.
  std::uint64_t Append(std::string data, WallTime now);

  // Up to `limit` retained records from `from` on.
  std::vector<Record> Read(std::uint64_t from, std::size_t limit) const;

  // Offset of the first retained record, or the end if there is none.
  std::uint64_t first() const { return first_; }
  // Offset that the next record will get.
  std::uint64_t end() const { return first_ + records_.size(); }

  // Drops the records before `offset`; at most all of them.
  void TrimTo(std::uint64_t offset);

  // Drops records beyond the newest `max_count` and those older than `max_age`. A `max_age` of
  // zero means no limit.
  void Retain(std::size_t max_count, Duration max_age, WallTime now);

 private:
  std::uint64_t first_ = 0;
  std::deque<Record> records_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_LOG_STORE_H_
