#include "epoch_voter.h"

#include <catch2/catch.hpp>

namespace cactusshelf::jobs {

using std::chrono::seconds;

TEST_CASE("a vote for the present owner counts as one for an earlier owner") {
  // Guards against a new owner that waits for leases which nobody can have granted since.
  EpochVoter voter;
  CHECK(voter.OnEpochNoticed(5, false, Time{seconds(1)}));
  voter.Vote(5, Time{seconds(2)});
  CHECK(voter.last_earlier_vote_at() == Time{});
  CHECK(voter.OnEpochNoticed(9, false, Time{seconds(4)}));
  CHECK(voter.last_earlier_vote_at() == Time{seconds(2)});
  voter.Vote(9, Time{seconds(5)});
  CHECK(voter.last_earlier_vote_at() == Time{seconds(2)});
}

TEST_CASE("a process votes for an owner after it was told of a later one") {
  // Guards against two owners that grant leases without the store.
  EpochVoter voter;
  voter.OnEpochNoticed(9, false, Time{seconds(1)});
  CHECK_FALSE(voter.OnEpochNoticed(5, false, Time{seconds(2)}));
  voter.Vote(5, Time{seconds(3)});
  CHECK(voter.epoch() == 9);
  voter.OnEpochNoticed(12, false, Time{seconds(4)});
  CHECK(voter.last_earlier_vote_at() == Time{});
}

TEST_CASE("the vote of an owner for itself ends before it is told of its successor") {
  // Guards against leases that a new owner takes for ended: an owner votes for itself all the time.
  EpochVoter voter;
  voter.OnEpochNoticed(5, false, Time{seconds(1)});
  voter.OnEpochNoticed(9, true, Time{seconds(8)});
  CHECK(voter.last_earlier_vote_at() == Time{seconds(8)});
}

TEST_CASE("an epoch that the log cannot have keeps a process from owning the cell") {
  // Guards against a damaged message that tells of an owner which does not exist.
  EpochVoter voter;
  voter.OnEpochNoticed(1000, false, Time{seconds(2)});
  voter.OnLogRead(Time{seconds(1)}, 50, 7);
  CHECK(voter.epoch() == 1000);
  voter.OnLogRead(Time{seconds(3)}, 50, 7);
  CHECK(voter.epoch() == 7);
}

}  // namespace cactusshelf::jobs
