#ifndef CACTUSSHELF_NODE_ROUTING_TABLE_BUILDER_H_
#define CACTUSSHELF_NODE_ROUTING_TABLE_BUILDER_H_

#include <set>
#include <string>
#include <vector>

#include "cactusshelf/connection/routing_table.h"
#include "cactusshelf/version/configuration.h"

namespace cactusshelf {

// Builds the routing table from `configuration` and the links of this failure domain.
RoutingTable BuildRoutingTable(const Configuration& configuration,
                               const std::vector<DomainLink>& links);

// Returns the endpoints on `leaving_hosts`. The host list identifies a host by its worker name or
// its IP address.
std::vector<EndpointId> EndpointsOnHosts(const Configuration& configuration,
                                         const std::set<std::string>& leaving_hosts);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_ROUTING_TABLE_BUILDER_H_
