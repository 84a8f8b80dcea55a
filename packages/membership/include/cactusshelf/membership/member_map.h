#ifndef CACTUSSHELF_MEMBERSHIP_MEMBER_MAP_H_
#define CACTUSSHELF_MEMBERSHIP_MEMBER_MAP_H_

#include <map>
#include <set>

#include "cactusshelf/base/strong_id.h"

namespace cactusshelf {

// Orders ids by their text.
struct MemberIdLess {
  bool operator()(const MemberId& left, const MemberId& right) const {
    return left.str().compare(right.str()) < 0;
  }
};

template <typename T>
using MemberMap = std::map<MemberId, T, MemberIdLess>;
using MemberSet = std::set<MemberId, MemberIdLess>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_MEMBER_MAP_H_
