#include "owner_election.h"

namespace cactusshelf::jobs {

void OwnerElection::OnRead(bool active, Time now) {
  const bool adjacent = last_read_ && now - *last_read_ <= options_.longest_gap;
  if (active || !adjacent) {
    silent_ = Duration::zero();
  } else {
    silent_ += now - *last_read_;
  }
  last_read_ = now;
}

bool OwnerElection::ShouldStand(const OwnerRecord& owner, Duration extra_delay) const {
  // The owner is an earlier process of this host, so it has ended.
  const bool own_predecessor = owner.host == host_ && owner.member != member_;
  if (owner.epoch == 0 || owner.released || own_predecessor)
    return silent_ >= delay_ / 4 + options_.delay + extra_delay;
  return silent_ >= options_.silence + delay_ + options_.delay + extra_delay;
}

void OwnerElection::Redraw() {
  delay_ = random_.Between(Duration::zero(), options_.jitter);
  silent_ = Duration::zero();
  last_read_.reset();
}

}  // namespace cactusshelf::jobs
