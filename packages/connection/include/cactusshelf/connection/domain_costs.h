#ifndef CACTUSSHELF_CONNECTION_DOMAIN_COSTS_H_
#define CACTUSSHELF_CONNECTION_DOMAIN_COSTS_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/connection/routing_table.h"

namespace cactusshelf {

// Assigns index numbers to failure domains and stores the cost of the links between them.
// Not thread-safe.
class DomainCosts {
 public:
  // Returns the index of `domain`, and assigns one on first use. Indexes are never reused.
  std::size_t IndexOf(const DomainId& domain);

  // Replaces all links.
  void SetLinks(const std::vector<DomainLink>& links);

  // Network latency of a request and its answer together.
  Duration RoundTrip(std::size_t from, std::size_t to) const;

  // Round trip plus link cost.
  Duration Cost(std::size_t from, std::size_t to) const;

  std::size_t size() const { return indexes_.size(); }

 private:
  struct Link {
    Duration round_trip{};
    Duration cost{};
  };

  const Link* FindLink(std::size_t from, std::size_t to) const;

  std::unordered_map<DomainId, std::size_t> indexes_;
  std::vector<std::vector<Link>> links_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_DOMAIN_COSTS_H_
