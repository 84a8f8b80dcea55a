#ifndef CACTUSSHELF_JOBS_SRC_HOST_VOTES_H_
#define CACTUSSHELF_JOBS_SRC_HOST_VOTES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cactusshelf/jobs/job_record.h"
#include "cactusshelf/jobs/peer_messages.h"

namespace cactusshelf::jobs {

// What the other entry hosts have answered to the notices of one owner. Not thread-safe.
//
// A process that has answered knows the owner's epoch, so that it is no vote for an earlier
// owner any more. At most one process of a host lives at a time: one that answers shows that all
// others of its host have ended.
class HostVotes {
 public:
  using Voters = std::map<std::string, std::string>;  // The voting process of each host.

  // `host` and `member` are those of the owner, which votes for itself from `now` on, and has voted
  // for an earlier owner at `earlier_vote_at` for the last time. At `now` it has stopped as any
  // earlier owner.
  HostVotes(std::string host, std::string member, std::int64_t epoch, Time earlier_vote_at,
            Time now)
      : host_(std::move(host)),
        member_(std::move(member)),
        epoch_(epoch),
        earlier_vote_at_(earlier_vote_at),
        began_at_(now) {}

  // This process has stopped as any earlier owner by then.
  Time earlier_vote_at() const { return earlier_vote_at_; }

  // Ignores answers to notices of another epoch, and those that claim a time after `now`.
  void OnAnswer(const OwnershipAnswer& answer, Time now);

  // When more than half of `voters` had certainly not learned of a later owner; zero if never.
  // Precondition: this process has not learned of one by `now`.
  Time MajorityConfirmedAt(const Voters& voters, Time now) const;

  // When earlier owners got their last vote from at least half of `voters`; absent while that is
  // not known. Precondition: `voters` is not empty.
  std::optional<Time> QuorumAt(const Voters& voters) const;

  // No later than this time the process of an earlier claim had stopped as owner; absent while that
  // is not known.
  std::optional<Time> StoppedAt(const OwnerRecord& claim) const;

  // The processes that have answered after `since`, and this one.
  Voters AnsweredSince(Time since) const;

 private:
  // When the voting process of a host has certainly voted for an earlier owner for the last time.
  std::optional<Time> LastEarlierVote(const std::string& host, const std::string& member) const;

  struct Process {
    Time first_answer_at;
    Time last_answer_at;
    Time confirmed_at;  // When the last notice was sent that it has answered.
    Time started_before;
    Time voted_before;  // For an earlier owner.
  };

  std::string host_;
  std::string member_;
  std::int64_t epoch_;
  Time earlier_vote_at_;
  Time began_at_;
  std::map<std::string, std::map<std::string, Process>> processes_;  // By host and member.
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_HOST_VOTES_H_
