#include "record_cache.h"

#include <cassert>
#include <utility>

namespace cactusshelf {

void RecordCache::Add(CatchUpRecord record) {
  assert(records_.empty() || record.offset == records_.back().offset + 1);
  bytes_ += record.data.size();
  records_.push_back(std::move(record));
  while (records_.size() > kMaxRecords || bytes_ > kMaxBytes) {
    bytes_ -= records_.front().data.size();
    records_.pop_front();
  }
}

void RecordCache::Clear() {
  records_.clear();
  bytes_ = 0;
}

std::optional<std::vector<CatchUpRecord>> RecordCache::RecordsFrom(Offset from) const {
  if (records_.empty() || from < records_.front().offset || from > records_.back().offset) {
    return std::nullopt;
  }
  std::vector<CatchUpRecord> reply;
  std::size_t size = 0;
  for (std::size_t i = from - records_.front().offset; i < records_.size(); ++i) {
    size += records_[i].data.size();
    if (size > kMaxReplyBytes && !reply.empty()) {
      break;
    }
    reply.push_back(records_[i]);
  }
  return reply;
}

}  // namespace cactusshelf
