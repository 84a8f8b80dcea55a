#ifndef CACTUSSHELF_TESTING_DISABLED_PROTECTION_H_
#define CACTUSSHELF_TESTING_DISABLED_PROTECTION_H_

#include <cstdlib>
#include <string_view>

namespace cactusshelf {

// Whether scripts/prove asked for the protection `name` to be switched off, in which case the proof
// that runs must fail.
inline bool IsBroken(std::string_view name) {
  const char* broken = std::getenv("CACTUSSHELF_BROKEN");
  return broken != nullptr && name == broken;
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_TESTING_DISABLED_PROTECTION_H_
