#include "cactusshelf/request/answer_store.h"

namespace cactusshelf {

namespace {

// Memory of one answer besides its content: map node, insertion record and allocator overhead.
constexpr std::size_t kEntryOverheadBytes = 256;

std::size_t EstimateBytes(const StoredAnswer& answer) {
  std::size_t size = kEntryOverheadBytes + BodySize(answer.response.body);
  for (const Header& header : answer.response.headers) {
    size += sizeof(Header) + header.name.size() + header.value.size();
  }
  return size;
}

}  // namespace

AnswerStore::AnswerStore(std::size_t max_bytes, Duration max_age)
    : max_bytes_(max_bytes), max_age_(max_age) {}

void AnswerStore::Put(Time now, const RequestId& id, StoredAnswer answer) {
  Erase(id);
  const std::size_t size = EstimateBytes(answer);
  while (!insertion_order_.empty()) {
    const bool expired = insertion_order_.front().stored_at + max_age_ < now;
    if (!expired && bytes_ + size <= max_bytes_) {
      break;
    }
    EvictOldest();
  }
  if (size > max_bytes_) {
    return;
  }
  ++last_sequence_;
  bytes_ += size;
  answers_.emplace(id, Entry{std::move(answer), size, last_sequence_});
  insertion_order_.push_back(InsertionRecord{now, id, last_sequence_});
}

const StoredAnswer* AnswerStore::Find(const RequestId& id) const {
  const auto it = answers_.find(id);
  return it == answers_.end() ? nullptr : &it->second.answer;
}

void AnswerStore::Erase(const RequestId& id) {
  const auto it = answers_.find(id);
  if (it == answers_.end()) {
    return;
  }
  bytes_ -= it->second.bytes;
  answers_.erase(it);
}

void AnswerStore::EvictOldest() {
  const InsertionRecord& oldest = insertion_order_.front();
  const auto it = answers_.find(oldest.id);
  // Replacing an answer leaves its earlier insertion record in the queue; the sequence differs.
  if (it != answers_.end() && it->second.sequence == oldest.sequence) {
    Erase(oldest.id);
  }
  insertion_order_.pop_front();
}

}  // namespace cactusshelf
