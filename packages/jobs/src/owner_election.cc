#include "owner_election.h"

namespace cactusshelf::jobs {

void OwnerElection::OnRead(bool owner_active, Time now) {
  const bool gap_acceptable = last_read_ && now - *last_read_ <= options_.max_read_gap;
  if (owner_active || !gap_acceptable) {
    observed_silence_ = Duration::zero();
  } else {
    observed_silence_ += now - *last_read_;
  }
  last_read_ = now;
}

bool OwnerElection::ShouldClaim(const OwnerRecord& owner, Duration extra_delay) const {
  // If the owner is an earlier process of this host, that process has ended.
  const bool own_predecessor = owner.host == host_ && owner.member != member_;
  if (owner.epoch == 0 || owner.released || own_predecessor)
    return observed_silence_ >= random_delay_ / 4 + options_.claim_delay + extra_delay;
  return observed_silence_ >=
         options_.owner_silence + random_delay_ + options_.claim_delay + extra_delay;
}

void OwnerElection::Reset() {
  random_delay_ = random_.Between(Duration::zero(), options_.claim_jitter);
  observed_silence_ = Duration::zero();
  last_read_.reset();
}

}  // namespace cactusshelf::jobs
