#include "composition_history.h"

#include <algorithm>

namespace cactusshelf {
namespace {

// A worker starts or ends only a few tasks while a measurement is in transit.
constexpr std::size_t kMaxChanges = 64;
constexpr double kMinShare = 1e-6;

void AddShare(std::vector<ClassShare>& shares, ClassIndex job_class, double delta) {
  const auto it = std::find_if(shares.begin(), shares.end(), [&](const ClassShare& share) {
    return share.job_class == job_class;
  });
  if (it == shares.end()) {
    shares.push_back({job_class, delta});
    return;
  }
  it->share += delta;
  if (it->share < kMinShare && it->share > -kMinShare) {
    shares.erase(it);
  }
}

}  // namespace

void CompositionHistory::Add(WorkerTime at, ClassIndex job_class, double delta) {
  AddShare(current_, job_class, delta);
  const auto after = [](WorkerTime time, const Change& change) { return time < change.at; };
  changes_.insert(std::upper_bound(changes_.begin(), changes_.end(), at, after),
                  {at, job_class, delta});
  if (changes_.size() > kMaxChanges) {
    changes_.pop_front();
  }
}

void CompositionHistory::Clear() {
  current_.clear();
  changes_.clear();
}

std::vector<ClassShare> CompositionHistory::SharesAt(WorkerTime at) const {
  std::vector<ClassShare> shares = current_;
  for (auto it = changes_.rbegin(); it != changes_.rend() && it->at > at; ++it) {
    AddShare(shares, it->job_class, -it->delta);
  }
  return shares;
}

std::size_t CompositionHistory::ChangesBetween(WorkerTime from, WorkerTime to) const {
  return static_cast<std::size_t>(
      std::count_if(changes_.begin(), changes_.end(),
                    [&](const Change& change) { return change.at > from && change.at <= to; }));
}

}  // namespace cactusshelf
