#ifndef CACTUSSHELF_CONNECTION_ENDPOINT_PICKER_H_
#define CACTUSSHELF_CONNECTION_ENDPOINT_PICKER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "cactusshelf/base/random.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Selects an endpoint of one service: samples a few candidates at random in each failure domain
// and picks the one with the lowest cost. The time does not depend on the number of endpoints as
// long as most candidates can be used. Not thread-safe.
class EndpointPicker {
 public:
  // Usable candidates compared in each failure domain. With two samples the endpoint with the
  // lowest cost is often missed in a domain that has a slow endpoint; more than six samples do not
  // improve tail latency further.
  static constexpr std::size_t kSamplesPerDomain = 6;

  struct Choice {
    std::uint32_t endpoint = 0;
    std::size_t domain = 0;
  };

  // Adds endpoint `n` of `domain` to the candidates, or removes it.
  void SetCandidate(std::uint32_t n, std::size_t domain, bool candidate);

  std::size_t CandidateCount(std::size_t domain) const {
    return domain < domains_.size() ? domains_[domain].size() : 0;
  }

  // `domain_cost(domain)` is the cost of reaching a domain. `cost(n)` is the additional cost of
  // endpoint `n`, which must not be negative, or empty if the endpoint cannot be used. Returns
  // empty if no candidate can be used.
  template <typename DomainCost, typename Cost>
  std::optional<Choice> Pick(Random& random, DomainCost domain_cost, Cost cost) const {
    std::optional<Choice> best;
    Duration best_cost = Duration::max();
    for (std::size_t domain = 0; domain < domains_.size(); ++domain) {
      const Duration base_cost = domain_cost(domain);
      if (domains_[domain].empty() || base_cost >= best_cost) {
        continue;
      }
      PickInDomain(domain, base_cost, random, cost, best, best_cost);
    }
    return best;
  }

 private:
  static constexpr std::size_t kNotCandidate = std::numeric_limits<std::size_t>::max();

  struct Position {
    std::size_t domain = 0;
    std::size_t index = kNotCandidate;
  };

  void Remove(std::uint32_t n);

  template <typename Cost>
  void PickInDomain(std::size_t domain, Duration base_cost, Random& random, Cost& cost,
                    std::optional<Choice>& best, Duration& best_cost) const {
    const std::vector<std::uint32_t>& candidates = domains_[domain];
    const std::size_t start = random.Below(candidates.size());
    std::size_t usable = 0;
    for (std::size_t i = 0; i < candidates.size() && usable < kSamplesPerDomain; ++i) {
      const std::uint32_t n = candidates[(start + i) % candidates.size()];
      const std::optional<Duration> endpoint_cost = cost(n);
      if (!endpoint_cost) {
        continue;
      }
      ++usable;
      if (base_cost + *endpoint_cost < best_cost) {
        best_cost = base_cost + *endpoint_cost;
        best = Choice{n, domain};
      }
    }
  }

  std::vector<std::vector<std::uint32_t>> domains_;
  std::vector<Position> positions_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ENDPOINT_PICKER_H_
