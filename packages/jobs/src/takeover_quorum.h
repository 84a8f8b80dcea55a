#ifndef CACTUSSHELF_JOBS_SRC_TAKEOVER_QUORUM_H_
#define CACTUSSHELF_JOBS_SRC_TAKEOVER_QUORUM_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/time.h"

namespace cactusshelf::jobs {

// Tells from when on earlier owners get no more answers from most of the workers of their roster.
//
// An owner that does not reach the store grants leases while more than half of the workers of its
// stored roster, the voters, answer it. A worker that has accepted the token of a later owner
// answers it no more, so that half of the voters are enough for the later owner. Not thread-safe.
class TakeoverQuorum {
 public:
  // `voters` is the stored roster of the earlier owners. If `required` is false, they have all
  // ended, or been replaced for certain, before `now`.
  TakeoverQuorum(const std::vector<std::string>& voters, bool required, Time now);

  // Records that the worker has accepted the token of the new owner before `now`. Returns true if
  // that completes the quorum.
  bool OnTokenAccepted(const std::string& worker, Time now);

  // Records that earlier owners get no evidence after `now`, whichever workers they reach.
  // Precondition: the quorum is not reached.
  void Waive(Time now) { reached_at_ = now; }

  bool reached() const { return reached_at_ != Time::max(); }
  // Time::max() until it is reached.
  Time reached_at() const { return reached_at_; }
  bool IsVoter(const std::string& worker) const { return voters_.contains(worker); }
  std::size_t voters() const { return voters_.size(); }
  std::size_t accepted() const { return accepted_.size(); }

 private:
  std::set<std::string> voters_;
  std::set<std::string> accepted_;  // Voters that have accepted the token.
  Time reached_at_ = Time::max();
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_TAKEOVER_QUORUM_H_
