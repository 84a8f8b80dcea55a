#ifndef CACTUSSHELF_BASE_RENDEZVOUS_H_
#define CACTUSSHELF_BASE_RENDEZVOUS_H_

#include <cstdint>
#include <ranges>
#include <string_view>

namespace cactusshelf {

// Weight of `node` for `key` in rendezvous (highest random weight) hashing. Must not change between
// processes or versions, since all nodes must agree on the owner of a key. Thread-safe.
std::uint64_t RendezvousWeight(std::string_view node, std::string_view key);

// Iterator to the element of `nodes` with the highest weight for `key`, or the end iterator if
// `nodes` is empty. `projection` maps an element to its name. The first of several elements with
// the same weight is chosen.
template <std::ranges::forward_range Range, typename Projection>
auto RendezvousOwner(const Range& nodes, std::string_view key, Projection projection) {
  auto best = std::ranges::end(nodes);
  std::uint64_t best_weight = 0;
  for (auto it = std::ranges::begin(nodes); it != std::ranges::end(nodes); ++it) {
    const std::uint64_t weight = RendezvousWeight(projection(*it), key);
    if (best == std::ranges::end(nodes) || weight > best_weight) {
      best = it;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_RENDEZVOUS_H_
