#ifndef CACTUSSHELF_REQUEST_OWNERSHIP_H_
#define CACTUSSHELF_REQUEST_OWNERSHIP_H_

#include <functional>
#include <optional>
#include <string_view>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Owner of a key and the time from which it owns the key. The ownership starts only after the
// authority of the previous owner has ended.
struct Ownership {
  MemberId member;
  WallTime ownership_start;
};

// Looks up the owner of a key in the current ownership map. Empty while the key has no owner, also
// while a successor waits for the authority of the previous owner to end.
using OwnerOf = std::function<std::optional<Ownership>(std::string_view key)>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_OWNERSHIP_H_
