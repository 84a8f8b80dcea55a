#ifndef CACTUSSHELF_PLACEMENT_SRC_INTERNER_H_
#define CACTUSSHELF_PLACEMENT_SRC_INTERNER_H_

#include <cstdint>
#include <unordered_map>

namespace cactusshelf {

// Maps ids to consecutive indexes from 0, in the order in which they are first seen.
// Not thread-safe.
template <typename Id>
class Interner {
 public:
  std::uint32_t IndexOf(const Id& id) {
    return indexes_.try_emplace(id, static_cast<std::uint32_t>(indexes_.size())).first->second;
  }

 private:
  std::unordered_map<Id, std::uint32_t> indexes_;
};

using ClassIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_INTERNER_H_
