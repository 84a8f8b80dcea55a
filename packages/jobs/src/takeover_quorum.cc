#include "takeover_quorum.h"

namespace cactusshelf::jobs {

TakeoverQuorum::TakeoverQuorum(const std::vector<std::string>& voters, bool required, Time now)
    : voters_(voters.begin(), voters.end()) {
  if (!required || voters_.empty()) reached_at_ = now;
}

bool TakeoverQuorum::OnTokenAccepted(const std::string& worker, Time now) {
  if (IsVoter(worker)) accepted_.insert(worker);
  if (reached() || 2 * accepted_.size() < voters_.size()) return false;
  reached_at_ = now;
  return true;
}

}  // namespace cactusshelf::jobs
