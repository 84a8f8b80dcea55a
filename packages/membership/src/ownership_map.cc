#include "cactusshelf/membership/ownership_map.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/base/rendezvous.h"

namespace cactusshelf {

OwnershipMap OwnershipMap::Make(Epoch epoch, std::vector<Member> members) {
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.join_offset < b.join_offset; });
  std::set<std::string> ids;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (!ids.insert(members[i].id.str()).second) {
      throw Error("member " + members[i].id.str() + " is listed twice");
    }
    if (i > 0 && members[i].join_offset == members[i - 1].join_offset) {
      throw Error("two members with join offset " + std::to_string(members[i].join_offset));
    }
    if (members[i].join_offset > epoch) {
      throw Error("member " + members[i].id.str() + " joined after the epoch of the map");
    }
  }
  OwnershipMap map;
  map.epoch_ = epoch;
  map.members_ = std::move(members);
  return map;
}

const Member* OwnershipMap::Find(const MemberId& id) const {
  const auto it = std::find_if(members_.begin(), members_.end(),
                               [&](const Member& member) { return member.id == id; });
  return it == members_.end() ? nullptr : &*it;
}

const Member* OwnershipMap::OwnerOf(std::string_view key) const {
  const auto it = RendezvousOwner(
      members_, key, [](const Member& member) -> const std::string& { return member.id.str(); });
  return it == members_.end() ? nullptr : &*it;
}

}  // namespace cactusshelf
