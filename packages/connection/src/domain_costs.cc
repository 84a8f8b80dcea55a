#include "cactusshelf/connection/domain_costs.h"

namespace cactusshelf {

std::size_t DomainCosts::IndexOf(const DomainId& domain) {
  return indexes_.try_emplace(domain, indexes_.size()).first->second;
}

void DomainCosts::SetLinks(const std::vector<DomainLink>& links) {
  for (const DomainLink& link : links) {
    IndexOf(link.from);
    IndexOf(link.to);
  }
  links_.assign(size(), std::vector<Link>(size()));
  for (const DomainLink& link : links) {
    const Duration round_trip = 2 * link.distance;
    links_[IndexOf(link.from)][IndexOf(link.to)] = Link{round_trip, round_trip + link.link_cost};
  }
}

Duration DomainCosts::RoundTrip(std::size_t from, std::size_t to) const {
  const Link* link = FindLink(from, to);
  return link == nullptr ? Duration::zero() : link->round_trip;
}

Duration DomainCosts::Cost(std::size_t from, std::size_t to) const {
  const Link* link = FindLink(from, to);
  return link == nullptr ? Duration::zero() : link->cost;
}

const DomainCosts::Link* DomainCosts::FindLink(std::size_t from, std::size_t to) const {
  if (from >= links_.size() || to >= links_.size()) {
    return nullptr;
  }
  return &links_[from][to];
}

}  // namespace cactusshelf
