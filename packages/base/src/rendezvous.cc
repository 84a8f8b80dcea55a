#include "cactusshelf/base/rendezvous.h"

#include <xxhash.h>

namespace cactusshelf {

std::uint64_t RendezvousWeight(std::string_view node, std::string_view key) {
  const std::uint64_t seed = XXH64(node.data(), node.size(), 0);
  return XXH64(key.data(), key.size(), seed);
}

}  // namespace cactusshelf
