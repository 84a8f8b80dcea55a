#include "takeover_quorum.h"

#include <catch2/catch.hpp>

namespace cactusshelf::jobs {
namespace {

constexpr Time kGained{std::chrono::seconds(1)};
constexpr Time kLater{std::chrono::seconds(2)};

}  // namespace

TEST_CASE("a new owner has a quorum while its predecessor has most of the voters") {
  // Guards against two owners that both grant leases: more than half for one, half for the other.
  TakeoverQuorum quorum({"a", "b", "c", "d", "e"}, true, kGained);
  CHECK_FALSE(quorum.OnTokenAccepted("a", kLater));
  CHECK_FALSE(quorum.OnTokenAccepted("a", kLater));
  CHECK_FALSE(quorum.OnTokenAccepted("b", kLater));
  CHECK_FALSE(quorum.OnTokenAccepted("no voter", kLater));
  CHECK_FALSE(quorum.reached());
  CHECK(quorum.OnTokenAccepted("c", kLater));
  CHECK(quorum.reached_at() == kLater);
  CHECK_FALSE(quorum.OnTokenAccepted("d", kLater));
}

TEST_CASE("half of the voters are not enough for a new owner") {
  // Guards against a takeover that waits without end for one of two workers.
  TakeoverQuorum quorum({"a", "b"}, true, kGained);
  CHECK_FALSE(quorum.reached());
  CHECK(quorum.OnTokenAccepted("a", kLater));
}

TEST_CASE("a takeover waits for a quorum against owners that have ended") {
  CHECK(TakeoverQuorum({"a", "b"}, false, kGained).reached_at() == kGained);
  CHECK(TakeoverQuorum({}, true, kGained).reached_at() == kGained);
}

}  // namespace cactusshelf::jobs
