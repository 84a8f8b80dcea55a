#ifndef CACTUSSHELF_TESTING_DISABLED_PROTECTION_H_
#define CACTUSSHELF_TESTING_DISABLED_PROTECTION_H_

#include <cstdlib>
#include <string_view>

namespace cactusshelf {

// Returns whether the protection `name` is to be switched off, because `scripts/prove --broken` set
// CACTUSSHELF_BROKEN to this name. The proof of a disabled protection must fail; one that passes
// does not detect the fault that the protection prevents.
inline bool IsProtectionDisabled(std::string_view name) {
  const char* disabled = std::getenv("CACTUSSHELF_BROKEN");
  return disabled != nullptr && name == disabled;
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_TESTING_DISABLED_PROTECTION_H_
