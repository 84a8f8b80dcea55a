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

// Answers of the non-idempotent requests that this entry host ran, for callers that repeat an
// id. Drops the oldest once the memory bound or the age bound is reached. Not thread-safe.
class AnswerStore {
 public:
  AnswerStore(std::size_t max_bytes, Duration max_age);

  // Replaces an earlier answer of the same id.
  void Put(Time now, const RequestId& id, StoredAnswer answer);

  // Null if there is none. Valid until the next Put.
  const StoredAnswer* Find(const RequestId& id) const;

  // Estimated memory in use; at most the bound.
  std::size_t bytes() const { return bytes_; }
  std::size_t size() const { return answers_.size(); }

 private:
  struct Entry {
    StoredAnswer answer;
    std::size_t bytes = 0;
    std::uint64_t sequence = 0;
  };
  struct Position {
    Time stored;
    RequestId id;
    std::uint64_t sequence;
  };

  void Erase(const RequestId& id);
  void DropOldest();

  std::size_t max_bytes_;
  Duration max_age_;
  std::size_t bytes_ = 0;
  std::uint64_t sequence_ = 0;
  std::unordered_map<RequestId, Entry> answers_;
  std::deque<Position> order_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_ANSWER_STORE_H_
