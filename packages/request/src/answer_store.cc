#include "cactusshelf/request/answer_store.h"

namespace cactusshelf {

namespace {

// Map node, order entry and allocation overhead of one answer.
constexpr std::size_t kEntryBytes = 256;

std::size_t SizeOf(const StoredAnswer& answer) {
  std::size_t size = kEntryBytes + BodySize(answer.response.body);
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
  const std::size_t size = SizeOf(answer);
  while (!order_.empty()) {
    const bool expired = order_.front().stored + max_age_ < now;
    if (!expired && bytes_ + size <= max_bytes_) {
      break;
    }
    DropOldest();
  }
  if (size > max_bytes_) {
    return;
  }
  ++sequence_;
  bytes_ += size;
  answers_.emplace(id, Entry{std::move(answer), size, sequence_});
  order_.push_back(Position{now, id, sequence_});
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

void AnswerStore::DropOldest() {
  const Position& oldest = order_.front();
  const auto it = answers_.find(oldest.id);
  // A replaced answer leaves its position behind.
  if (it != answers_.end() && it->second.sequence == oldest.sequence) {
    Erase(oldest.id);
  }
  order_.pop_front();
}

}  // namespace cactusshelf
