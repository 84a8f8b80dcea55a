#include "cactusshelf/membership/authority.h"

#include <catch2/catch.hpp>

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
const MemberId self("a/1");
const MemberId other("b/1");
const MemberId third("c/1");

Authority MakeAuthority() {
  Authority authority(self, {});
  const DomainId domain("d");
  authority.OnMap(
      OwnershipMap::Make(3, {{self, domain, 1}, {other, domain, 2}, {third, domain, 3}}), kStart);
  return authority;
}

// Polls at `now` and delivers the replies of `member` to its queries.
void PollAndReply(Authority& authority, const MemberId& member, bool promised, Time now) {
  for (const OutgoingMessage& message : authority.Poll({}, now)) {
    if (message.to == member) {
      const auto& confirm = std::get<Confirm>(message.message);
      authority.OnConfirmReply({member, confirm.query, 3, promised});
    }
  }
}

TEST_CASE("authority from a log read counts from the start of the read") {
  Authority authority = MakeAuthority();
  authority.OnLogRead(kStart);
  CHECK(authority.ValidUntil(kStart + seconds(1)) == kStart + seconds(2));
  CHECK_FALSE(authority.ValidUntil(kStart + seconds(2)).has_value());
}

TEST_CASE("a member that is not in the map has no authority although it reads the log") {
  Authority authority = MakeAuthority();
  authority.OnMap(OwnershipMap::Make(4, {{other, DomainId("d"), 2}}), kStart);
  authority.OnLogRead(kStart);
  CHECK_FALSE(authority.ValidUntil(kStart).has_value());
}

TEST_CASE("no queries are sent while log reads succeed") {
  Authority authority = MakeAuthority();
  authority.OnLogRead(kStart);
  CHECK(authority.Poll({}, kStart + milliseconds(900)).empty());
  CHECK(authority.Poll({}, kStart + milliseconds(1400)).size() == 2);
}

TEST_CASE("a joined member that is not yet on the host list must confirm") {
  Authority authority = MakeAuthority();
  authority.OnHostList({"a", "c"}, kStart + seconds(1));
  PollAndReply(authority, third, true, kStart + seconds(1));
  CHECK_FALSE(authority.ValidUntil(kStart + seconds(1)).has_value());
  authority.OnHostList({"a", "c"}, kStart + seconds(61));
  PollAndReply(authority, third, true, kStart + seconds(61));
  CHECK(authority.ValidUntil(kStart + seconds(61)) == kStart + seconds(63));
}

TEST_CASE("a member whose host is back on the host list must confirm again") {
  Authority authority = MakeAuthority();
  authority.OnHostList({"a", "b", "c"}, kStart);
  authority.OnHostList({"a", "c"}, kStart);
  PollAndReply(authority, third, true, kStart + seconds(1));
  CHECK(authority.ValidUntil(kStart + seconds(1)).has_value());
  authority.OnHostList({"a", "b", "c"}, kStart + seconds(1));
  CHECK_FALSE(authority.ValidUntil(kStart + seconds(1)).has_value());
}

TEST_CASE("a refusal ends the authority that is based on an earlier promise") {
  Authority authority = MakeAuthority();
  authority.OnHostList({"a", "b", "c"}, kStart);
  authority.OnHostList({"a", "c"}, kStart);
  PollAndReply(authority, third, true, kStart);
  CHECK(authority.ValidUntil(kStart).has_value());
  PollAndReply(authority, third, false, kStart + seconds(1));
  CHECK_FALSE(authority.ValidUntil(kStart + seconds(1)).has_value());
}

TEST_CASE("a late reply counts from its query, and a reply from another member is ignored") {
  Authority authority = MakeAuthority();
  authority.OnHostList({"a", "b", "c"}, kStart);
  authority.OnHostList({"a", "c"}, kStart);
  const std::vector<OutgoingMessage> sent = authority.Poll({}, kStart);
  REQUIRE(sent.size() == 1);
  const std::uint64_t query = std::get<Confirm>(sent[0].message).query;
  authority.OnConfirmReply({other, query, 3, true});
  CHECK_FALSE(authority.ValidUntil(kStart).has_value());
  authority.OnConfirmReply({third, query, 3, true});
  CHECK(authority.ValidUntil(kStart + seconds(1)) == kStart + seconds(2));
}

TEST_CASE("no promise is given to a member that is not in the map") {
  const Authority authority = MakeAuthority();
  CHECK(authority.MakeConfirmReply({other, 7}, 3).promised);
  CHECK_FALSE(authority.MakeConfirmReply({MemberId("x/1"), 8}, 3).promised);
}

}  // namespace
}  // namespace cactusshelf
