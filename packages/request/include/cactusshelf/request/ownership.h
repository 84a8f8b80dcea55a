#ifndef CACTUSSHELF_REQUEST_OWNERSHIP_H_
#define CACTUSSHELF_REQUEST_OWNERSHIP_H_

#include <functional>
#include <optional>
#include <string_view>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Owner of a key and the start of its tenure, after any wait for the authority of the previous
// owner to end.
struct Ownership {
  MemberId member;
  WallTime tenure_start;
};

// Owner of a key in the ownership map in force. Empty while the key has no owner, which includes
// the wait of a successor.
using OwnerOf = std::function<std::optional<Ownership>(std::string_view key)>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_OWNERSHIP_H_
