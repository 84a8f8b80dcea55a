#ifndef CACTUSSHELF_MEMBERSHIP_OWNERSHIP_MAP_H_
#define CACTUSSHELF_MEMBERSHIP_OWNERSHIP_MAP_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "cactusshelf/base/strong_id.h"

namespace cactusshelf {

// Log offset of a membership record (join, leave, remove).
using Epoch = std::uint64_t;

// One registered entry host process.
struct Member {
  MemberId id;
  DomainId domain;
  // Offset of the join record.
  Epoch join_offset = 0;

  friend bool operator==(const Member&, const Member&) = default;
};

// The registered members as of one log offset, and the owner of each key. Immutable except by
// assignment; safe to read from several threads.
class OwnershipMap {
 public:
  // Creates a map without members, in which no key has an owner.
  OwnershipMap() = default;

  // `epoch` is the offset of the last membership record applied. Throws Error if two members have
  // the same id or join offset, or if a member joined after `epoch`.
  static OwnershipMap Make(Epoch epoch, std::vector<Member> members);

  Epoch epoch() const { return epoch_; }

  // Ordered by join offset.
  const std::vector<Member>& members() const { return members_; }

  // Returns null if `id` is not a member. The pointer is valid as long as the map.
  const Member* Find(const MemberId& id) const;

  // Returns the member with the highest rendezvous hash for `key`, or null if there are no members.
  // All nodes that have the same members get the same result. The pointer is valid as long as the
  // map.
  const Member* OwnerOf(std::string_view key) const;

 private:
  Epoch epoch_ = 0;
  std::vector<Member> members_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_OWNERSHIP_MAP_H_
