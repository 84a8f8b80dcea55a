#ifndef CACTUSSHELF_REQUEST_ANSWER_STORE_H_
#define CACTUSSHELF_REQUEST_ANSWER_STORE_H_

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "cactusshelf/base/time.h"
#include "cactusshelf/request/claim_messages.h"
#include "cactusshelf/request/content.h"
#include "cactusshelf/request/outcome.h"
#include "cactusshelf/request/request_id.h"

namespace cactusshelf {

struct StoredAnswer {
  ClaimNumber number = 0;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  Response response;
};

// Results of the non-idempotent requests that this entry host ran, kept for callers that repeat a
// request id. Evicts the oldest answers when a new one would exceed the memory bound, and answers
// that are older than the age bound. Eviction happens in Put. Not thread-safe.
class AnswerStore {
 public:
  AnswerStore(std::size_t max_bytes, Duration max_age);

  // Replaces any earlier answer for the same id. An answer larger than the memory bound is not
  // stored.
  void Put(Time now, const RequestId& id, StoredAnswer answer);

  // Null if no answer is stored for `id`. The pointer is valid until the next Put.
  const StoredAnswer* Find(const RequestId& id) const;

  // Estimated memory in use; never above the memory bound.
  std::size_t bytes() const { return bytes_; }
  std::size_t size() const { return answers_.size(); }

 private:
  struct Entry {
    StoredAnswer answer;
    std::size_t bytes = 0;
    std::uint64_t sequence = 0;
  };
  struct InsertionRecord {
    Time stored_at;
    RequestId id;
    std::uint64_t sequence;
  };

  void Erase(const RequestId& id);
  void EvictOldest();

  std::size_t max_bytes_;
  Duration max_age_;
  std::size_t bytes_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::unordered_map<RequestId, Entry> answers_;
  std::deque<InsertionRecord> insertion_order_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_ANSWER_STORE_H_
