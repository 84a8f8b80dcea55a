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
// A process that has answered knows the owner's generation, so that it is no vote for an earlier
// owner any more. At most one process of a host lives at a time: one that answers shows that all
// others of its host have ended.
class HostVotes {
 public:
  using Voters = std::map<std::string, std::string>;  // The voting process of each host.

  // `host` and `member` are those of the owner, which votes for itself. At `now` this process has
  // stopped as any earlier owner; `last_owned_at` is when it did, zero if it never was an owner.
  HostVotes(std::string host, std::string member, std::int64_t generation, Time now,
            Time last_owned_at = {})
      : host_(std::move(host)),
        member_(std::move(member)),
        generation_(generation),
        began_at_(now),
        last_owned_at_(last_owned_at) {}

  Time last_owned_at() const { return last_owned_at_; }

  // Ignores answers to notices of another generation.
  void OnAnswer(const OwnershipAnswer& answer, Time now);

  // When more than half of `voters` had certainly not learned of a later owner; zero if never.
  // Precondition: this process has not learned of one by `now`.
  Time MajorityConfirmedAt(const Voters& voters, Time now) const;

  // True if earlier owners get no more votes from at least half of `voters`. Precondition: `voters`
  // is not empty.
  bool HasQuorum(const Voters& voters) const;

  // No later than this time the process of an earlier claim had stopped as owner; absent while that
  // is not known.
  std::optional<Time> StoppedAt(const OwnerRecord& claim) const;

  // The processes that have answered after `since`, and this one.
  Voters AnsweredSince(Time since) const;

 private:
  struct Process {
    Time first_answer_at;
    Time last_answer_at;
    Time confirmed_at;  // When the last notice was sent that it has answered.
    Time started_before;
  };

  std::string host_;
  std::string member_;
  std::int64_t generation_;
  Time began_at_;
  Time last_owned_at_;
  std::map<std::string, std::map<std::string, Process>> processes_;  // By host and member.
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_HOST_VOTES_H_
