#ifndef CACTUSSHELF_NODE_RECORD_CACHE_H_
#define CACTUSSHELF_NODE_RECORD_CACHE_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "peer_codec.h"

namespace cactusshelf {

// The last records that were applied, for members that cannot read the log. Not thread-safe.
class RecordCache {
 public:
  static constexpr std::size_t kMaxRecords = 1024;
  static constexpr std::size_t kMaxBytes = std::size_t{4} << 20;
  // Bound on one reply.
  static constexpr std::size_t kMaxReplyBytes = std::size_t{1} << 20;

  // Precondition: the offset is that after the last record added, unless the cache is empty.
  void Add(CatchUpRecord record);
  void Clear();

  // Records from `from` on, as many as fit in one reply; empty if some of them are not held.
  std::optional<std::vector<CatchUpRecord>> From(Offset from) const;

 private:
  std::deque<CatchUpRecord> records_;
  std::size_t bytes_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_RECORD_CACHE_H_
