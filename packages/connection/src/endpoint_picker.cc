#include "cactusshelf/connection/endpoint_picker.h"

namespace cactusshelf {

void EndpointPicker::SetCandidate(std::uint32_t n, std::size_t domain, bool candidate) {
  if (n >= positions_.size()) {
    positions_.resize(n + 1);
  }
  if (domain >= domains_.size()) {
    domains_.resize(domain + 1);
  }
  const bool is_candidate = positions_[n].index != kNotCandidate;
  if (is_candidate && (!candidate || positions_[n].domain != domain)) {
    Remove(n);
  }
  if (candidate && positions_[n].index == kNotCandidate) {
    positions_[n] = Position{domain, domains_[domain].size()};
    domains_[domain].push_back(n);
  }
}

void EndpointPicker::Remove(std::uint32_t n) {
  const Position position = positions_[n];
  std::vector<std::uint32_t>& candidates = domains_[position.domain];
  const std::uint32_t last = candidates.back();
  candidates[position.index] = last;
  positions_[last].index = position.index;
  candidates.pop_back();
  positions_[n].index = kNotCandidate;
}

}  // namespace cactusshelf
