#ifndef CACTUSSHELF_CONNECTION_BENCH_BASELINE_POLICY_H_
#define CACTUSSHELF_CONNECTION_BENCH_BASELINE_POLICY_H_

#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "bench_network.h"

namespace cactusshelf::bench {

enum class BaselineKind { kRandom, kRoundRobin, kLeastOutstanding };

// Each entry host chooses among all endpoints, considers only its own requests, and uses at most
// its share of the connections of an endpoint. A request is retried up to twice if the connection
// could not be established, or if the request is idempotent and the connection was reset.
class BaselinePolicy : public Policy {
 public:
  BaselinePolicy(Network& network, BaselineKind kind, std::uint64_t seed)
      : network_(&network),
        kind_(kind),
        random_(seed),
        entries_(
            kEntryHosts,
            Entry{0, std::vector<int>(static_cast<std::size_t>(network.deployment().endpoints))}) {
    for (Entry& entry : entries_) {
      entry.next = static_cast<std::size_t>(random_.Below(entry.outstanding.size()));
    }
    network.SetListener(
        [this](std::uint64_t attempt, int entry, AttemptEnd end) { OnEnd(attempt, entry, end); });
  }

  void OnArrival(std::size_t request, const Arrival& arrival) override {
    Send(request, arrival.entry, arrival.idempotent, 0, network_->events().now() + kDeadline);
  }

 private:
  static constexpr int kMaxResends = 2;
  static constexpr int kMaxOutstanding = kConnections / kEntryHosts;

  struct Entry {
    std::size_t next = 0;
    std::vector<int> outstanding;
  };
  struct Attempt {
    std::size_t request = 0;
    std::size_t endpoint = 0;
    bool idempotent = false;
    int resends = 0;
    Time deadline{};
  };

  std::size_t ChooseEndpoint(Entry& entry) {
    const std::size_t count = entry.outstanding.size();
    if (kind_ == BaselineKind::kRoundRobin) {
      return entry.next++ % count;
    }
    const std::size_t start = random_.Below(count);
    if (kind_ == BaselineKind::kRandom) {
      return start;
    }
    std::size_t best = start;
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t n = (start + i) % count;
      if (entry.outstanding[n] < entry.outstanding[best]) {
        best = n;
      }
    }
    return best;
  }

  void Send(std::size_t request, int host, bool idempotent, int resends, Time deadline) {
    Entry& entry = entries_[static_cast<std::size_t>(host)];
    std::size_t endpoint = ChooseEndpoint(entry);
    for (std::size_t i = 0;
         i < entry.outstanding.size() && entry.outstanding[endpoint] >= kMaxOutstanding; ++i) {
      endpoint = (endpoint + 1) % entry.outstanding.size();
    }
    if (entry.outstanding[endpoint] >= kMaxOutstanding) {
      network_->Finish(request, Result::Kind::kNotRun);
      return;
    }
    ++entry.outstanding[endpoint];
    const std::uint64_t id = next_++;
    attempts_.emplace(id, Attempt{request, endpoint, idempotent, resends, deadline});
    network_->Send(id, host, static_cast<int>(endpoint), request, deadline);
    network_->events().At(deadline, [this, id, host] { OnDeadline(id, host); });
  }

  void OnDeadline(std::uint64_t id, int host) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) {
      return;
    }
    network_->Cancel(id);
    network_->Finish(it->second.request, Result::Kind::kUnknown);
    RemoveAttempt(id, host);
  }

  Attempt RemoveAttempt(std::uint64_t id, int host) {
    const Attempt attempt = attempts_.at(id);
    attempts_.erase(id);
    --entries_[static_cast<std::size_t>(host)].outstanding[attempt.endpoint];
    return attempt;
  }

  void OnEnd(std::uint64_t id, int host, AttemptEnd end) {
    const Attempt attempt = RemoveAttempt(id, host);
    if (end == AttemptEnd::kAnswered) {
      network_->Finish(attempt.request, Result::Kind::kAnswered);
      return;
    }
    const bool may_repeat = attempt.idempotent || end == AttemptEnd::kNotConnected;
    if (may_repeat && attempt.resends < kMaxResends) {
      network_->CountRetry();
      Send(attempt.request, host, attempt.idempotent, attempt.resends + 1, attempt.deadline);
      return;
    }
    const bool not_run = end == AttemptEnd::kNotConnected && !attempt.idempotent;
    network_->Finish(attempt.request, not_run ? Result::Kind::kNotRun : Result::Kind::kUnknown);
  }

  Network* network_;
  BaselineKind kind_;
  Random random_;
  std::vector<Entry> entries_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::uint64_t next_ = 1;
};

}  // namespace cactusshelf::bench

#endif  // CACTUSSHELF_CONNECTION_BENCH_BASELINE_POLICY_H_
