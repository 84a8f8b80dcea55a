#ifndef CACTUSSHELF_JOBS_SRC_EPOCH_VOTER_H_
#define CACTUSSHELF_JOBS_SRC_EPOCH_VOTER_H_

#include <cstdint>

#include "cactusshelf/base/time.h"

namespace cactusshelf::jobs {

// The votes of one process for the owners of a cell. A process votes for the owner with the highest
// epoch that it was told, and for itself while it is that owner. Not thread-safe.
class EpochVoter {
 public:
  // The highest epoch of an owner that this process was told, or that it had itself.
  std::int64_t epoch() const { return epoch_; }

  // Another process, or this one, owns the cell under `epoch`. `votes_for_itself` tells that this
  // process owns the cell under an earlier one. Returns true if the epoch is higher than before.
  bool OnEpochNoticed(std::int64_t epoch, bool votes_for_itself, Time now) {
    if (epoch <= epoch_) return false;
    epoch_ = epoch;
    noticed_at_ = now;
    if (votes_for_itself) last_vote_at_ = now;
    last_earlier_vote_at_ = last_vote_at_;
    return true;
  }

  // This process gives its vote to an owner, or has just stopped to vote for itself. No effect if
  // it was told of a later owner.
  void Vote(std::int64_t epoch, Time now) {
    if (epoch == epoch_) last_vote_at_ = now;
  }

  // When the last vote was given for an owner before epoch(), or earlier than that; zero if never.
  Time last_earlier_vote_at() const { return last_earlier_vote_at_; }

  // The log was read up to `next_offset`, in a read that was sent at `read_at`, and shows `owner`
  // as the epoch of the owner. An epoch is an offset of the log, which is stored before anybody is
  // told of it: a higher one than the log has was a damaged message.
  void OnLogRead(Time read_at, std::int64_t next_offset, std::int64_t owner) {
    if (read_at > noticed_at_ && epoch_ > next_offset) epoch_ = owner;
  }

 private:
  std::int64_t epoch_ = 0;
  Time noticed_at_;
  Time last_vote_at_;
  Time last_earlier_vote_at_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_EPOCH_VOTER_H_
