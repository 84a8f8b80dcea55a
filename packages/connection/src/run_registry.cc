#include "run_registry.h"

#include <algorithm>

namespace cactusshelf {

namespace {

// Repeated requests that may wait for one run. Further ones are not recorded; their entry hosts
// repeat the FetchAnswer message until the request times out.
constexpr std::size_t kMaxWaiters = 64;

}  // namespace

RunRegistry::RunRegistry(RouterEnv& env)
    : env_(&env), store_(env.options.max_stored_answer_bytes, env.options.claim_window) {}

void RunRegistry::Begin(const RequestId& id, ClaimNumber number) { runs_[id].number = number; }

void RunRegistry::End(Now now, const RequestId& id, StoredAnswer answer) {
  const auto it = runs_.find(id);
  if (it == runs_.end()) {
    return;
  }
  const Run run = std::move(it->second);
  runs_.erase(it);
  for (const Waiter& waiter : run.waiters) {
    Reply(waiter, id, answer);
  }
  store_.Put(now.monotonic, id, std::move(answer));
}

bool RunRegistry::HasWaiters(const RequestId& id) const {
  const auto it = runs_.find(id);
  return it != runs_.end() && !it->second.waiters.empty();
}

void RunRegistry::OnFetch(const MemberId& from, const FetchAnswer& fetch) {
  const Waiter waiter{from, fetch.number};
  const auto it = runs_.find(fetch.id);
  if (it != runs_.end()) {
    std::vector<Waiter>& waiters = it->second.waiters;
    const bool known = std::ranges::find(waiters, waiter) != waiters.end();
    if (!known && waiters.size() < kMaxWaiters) {
      waiters.push_back(waiter);
    }
    return;
  }
  const StoredAnswer* stored = store_.Find(fetch.id);
  if (stored == nullptr) {
    env_->Send(from, Answer{fetch.id, fetch.number, false, Outcome::kUnknown, {}, {}});
    return;
  }
  if (stored->outcome == Outcome::kNotRun) {
    // The owner still considers the request claimed, so the message that releases the claim was
    // lost.
    const std::optional<Ownership> owner = env_->owner_of(fetch.id.ShardKey());
    if (owner) {
      env_->Send(owner->member, ClaimDone{fetch.id, stored->number, Outcome::kNotRun});
    }
  }
  Reply(waiter, fetch.id, *stored);
}

void RunRegistry::Reply(const Waiter& to, const RequestId& id, const StoredAnswer& answer) {
  env_->Send(to.member,
             Answer{id, to.number, true, answer.outcome, answer.reason, answer.response});
}

}  // namespace cactusshelf
