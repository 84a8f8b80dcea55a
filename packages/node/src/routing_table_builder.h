#ifndef CACTUSSHELF_NODE_ROUTING_TABLE_BUILDER_H_
#define CACTUSSHELF_NODE_ROUTING_TABLE_BUILDER_H_

#include <set>
#include <string>
#include <vector>

#include "cactusshelf/connection/routing_table.h"
#include "cactusshelf/version/configuration.h"

namespace cactusshelf {

// The part of `configuration` that the router needs.
RoutingTable BuildRoutingTable(const Configuration& configuration,
                               const std::vector<DomainLink>& links);

// Endpoints on the hosts `leaving`. A host list names a host by its worker name or its IP address.
std::vector<EndpointId> EndpointsOnHosts(const Configuration& configuration,
                                         const std::set<std::string>& leaving);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_ROUTING_TABLE_BUILDER_H_
