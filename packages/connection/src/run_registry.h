#ifndef CACTUSSHELF_CONNECTION_SRC_RUN_REGISTRY_H_
#define CACTUSSHELF_CONNECTION_SRC_RUN_REGISTRY_H_

#include <unordered_map>
#include <utility>
#include <vector>

#include "cactusshelf/request/answer_store.h"
#include "cactusshelf/request/claim_messages.h"
#include "router_env.h"

namespace cactusshelf {

// Stores the answers of non-idempotent requests that this member ran, and sends them to members
// that received a request with the same id. Not thread-safe.
class RunRegistry {
 public:
  explicit RunRegistry(RouterEnv& env);

  void Begin(const RequestId& id, ClaimNumber number);
  // Stores the answer and sends it to the members that wait for the answer.
  void End(Now now, const RequestId& id, StoredAnswer answer);
  bool HasWaiters(const RequestId& id) const;

  void OnFetch(const MemberId& from, const FetchAnswer& fetch);

 private:
  struct Waiter {
    MemberId member;
    FetchNumber number = 0;

    friend bool operator==(const Waiter&, const Waiter&) = default;
  };

  struct Run {
    ClaimNumber number = 0;
    std::vector<Waiter> waiters;
  };

  void Reply(const Waiter& to, const RequestId& id, const StoredAnswer& answer);

  RouterEnv* env_;
  AnswerStore store_;
  std::unordered_map<RequestId, Run> runs_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_RUN_REGISTRY_H_
