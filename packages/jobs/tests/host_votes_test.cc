#include "host_votes.h"

#include <catch2/catch.hpp>

namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kEpoch = 3;
Time Start() { return Time{seconds(100)}; }
HostVotes::Voters AllVoters() { return {{"a", "a/1"}, {"b", "b/1"}, {"c", "c/1"}, {"d", "d/1"}}; }

HostVotes Votes() { return {"a", "a/1", kEpoch, Start() - seconds(1), Start()}; }

// The answer of `member` to a notice that was sent `sent` after Start().
OwnershipAnswer Answer(const std::string& host, const std::string& member, Duration sent = {},
                       Duration uptime = seconds(50), Duration since_earlier_vote = seconds(2)) {
  return {host, member, 0, kEpoch, uptime, since_earlier_vote, (Start() + sent).time_since_epoch()};
}

OwnerRecord ClaimOf(const std::string& host, const std::string& member) {
  OwnerRecord claim;
  claim.epoch = kEpoch - 1;
  claim.host = host;
  claim.member = member;
  return claim;
}

}  // namespace

TEST_CASE("an owner without the store goes on with half of the hosts") {
  // Guards against two owners that grant leases: half of the hosts are enough for a later owner.
  HostVotes votes = Votes();
  const Time now = Start() + seconds(1);
  votes.OnAnswer(Answer("b", "b/1", milliseconds(300)), now);
  CHECK(votes.MajorityConfirmedAt(AllVoters(), now) == Time{});
  votes.OnAnswer(Answer("c", "c/1", milliseconds(200)), now);
  CHECK(votes.MajorityConfirmedAt(AllVoters(), now) == Start() + milliseconds(200));
}

TEST_CASE("a process that began after the record votes for the earlier owner") {
  // Guards against two owners that grant leases: the process that ended may have learned of a later
  // owner, which the one that follows it on the host does not know.
  HostVotes votes = Votes();
  const Time now = Start() + seconds(1);
  votes.OnAnswer(Answer("b", "b/2"), now);
  votes.OnAnswer(Answer("c", "c/2"), now);
  votes.OnAnswer(Answer("d", "d/2"), now);
  CHECK(votes.MajorityConfirmedAt(AllVoters(), now) == Time{});
}

TEST_CASE("a new owner with half of the hosts has no quorum") {
  HostVotes votes = Votes();
  CHECK_FALSE(votes.QuorumAt(AllVoters()));
  // A process that began later shows that the voting one has ended.
  votes.OnAnswer(Answer("b", "b/2"), Start());
  CHECK(votes.QuorumAt(AllVoters()));
}

TEST_CASE("answers for another epoch count as votes") {
  HostVotes votes = Votes();
  for (const std::string host : {"b", "c", "d"}) {
    OwnershipAnswer answer = Answer(host, host + "/1");
    answer.epoch = kEpoch - 1;
    votes.OnAnswer(answer, Start());
  }
  CHECK_FALSE(votes.QuorumAt(AllVoters()));
  CHECK(votes.MajorityConfirmedAt(AllVoters(), Start()) == Time{});
}

TEST_CASE("a new owner counts the votes of its predecessors from the answers to itself") {
  // Guards against waits for leases that cannot be granted any more: the hosts know when they have
  // voted for an earlier owner for the last time.
  HostVotes votes = Votes();
  const Time now = Start() + seconds(2);
  votes.OnAnswer(Answer("b", "b/1", {}, seconds(50), seconds(3)), now);
  CHECK(votes.QuorumAt(AllVoters()) == Start() - seconds(1));
  // The voting process of this host has ended before the one that answers began.
  votes.OnAnswer(Answer("c", "c/2", {}, milliseconds(2500), seconds(0)), now);
  CHECK(votes.QuorumAt(AllVoters()) == Start() - seconds(1));
  votes.OnAnswer(Answer("d", "d/1", {}, seconds(50), seconds(5)), now);
  CHECK(votes.QuorumAt({{"b", "b/1"}, {"c", "c/1"}, {"d", "d/1"}}) == Start() - seconds(1));
}

TEST_CASE("an earlier owner counts as stopped before it has answered") {
  // Guards against tasks that run twice: an earlier owner may grant leases until it has learned of
  // its successor, or its process has ended.
  HostVotes votes = Votes();
  CHECK_FALSE(votes.StoppedAt(ClaimOf("b", "b/1")));
  votes.OnAnswer(Answer("b", "b/1"), Start() + seconds(2));
  votes.OnAnswer(Answer("b", "b/1"), Start() + seconds(3));
  CHECK(votes.StoppedAt(ClaimOf("b", "b/1")) == Start() + seconds(2));
  votes.OnAnswer(Answer("c", "c/2", {}, milliseconds(500)), Start() + seconds(2));
  CHECK(votes.StoppedAt(ClaimOf("c", "c/1")) == Start() + milliseconds(1500));
  CHECK(votes.StoppedAt(ClaimOf("a", "a/0")) == Start());
}

TEST_CASE("an answer to a notice from the future confirms an owner without end") {
  // Guards against two owners that grant leases: the address was another host's before, with
  // another clock, or the message is damaged.
  HostVotes votes = Votes();
  votes.OnAnswer(Answer("b", "b/1", seconds(1000)), Start() + seconds(1));
  votes.OnAnswer(Answer("c", "c/1", {}, seconds(-1000)), Start() + seconds(1));
  CHECK_FALSE(votes.QuorumAt(AllVoters()));
}

TEST_CASE("hosts that no longer answer stay voters") {
  HostVotes votes = Votes();
  votes.OnAnswer(Answer("b", "b/1"), Start() + seconds(1));
  votes.OnAnswer(Answer("c", "c/1"), Start() + seconds(2));
  votes.OnAnswer(Answer("c", "c/2"), Start() + seconds(3));
  CHECK(votes.AnsweredSince(Start() + seconds(2)) == HostVotes::Voters{{"a", "a/1"}, {"c", "c/2"}});
}

}  // namespace cactusshelf::jobs
