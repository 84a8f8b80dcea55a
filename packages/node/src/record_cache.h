#ifndef CACTUSSHELF_NODE_RECORD_CACHE_H_
#define CACTUSSHELF_NODE_RECORD_CACHE_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "peer_codec.h"

namespace cactusshelf {

// Cache of the most recently applied records, which is used to answer members that cannot read the
// log. Not thread-safe.
class RecordCache {
 public:
  static constexpr std::size_t kMaxRecords = 1024;
  static constexpr std::size_t kMaxBytes = std::size_t{4} << 20;
  // Limit on the record data in one reply. A single larger record is still returned.
  static constexpr std::size_t kMaxReplyBytes = std::size_t{1} << 20;

  // Adds a record and evicts the oldest ones beyond the limits. Precondition: the cache is empty or
  // the record's offset follows that of the last record added.
  void Add(CatchUpRecord record);
  void Clear();

  // Returns consecutive records from offset `from` on, as many as fit in one reply, or nothing if
  // the record at `from` is not cached.
  std::optional<std::vector<CatchUpRecord>> RecordsFrom(Offset from) const;

 private:
  std::deque<CatchUpRecord> records_;
  std::size_t bytes_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_RECORD_CACHE_H_
