#include "routing_table_builder.h"

#include <cstdint>

#include "ip_address.h"

namespace cactusshelf {
namespace {

ServiceEntry ToServiceEntry(const Service& service) {
  ServiceEntry entry;
  entry.id = service.name;
  entry.customer = service.customer;
  entry.slots = static_cast<std::uint32_t>(service.slots);
  entry.connections = static_cast<std::uint32_t>(service.connections);
  entry.default_deadline = service.default_deadline;
  for (const Endpoint& it : service.endpoints) {
    entry.endpoints.push_back({it.id, it.address, it.domain});
  }
  return entry;
}

}  // namespace

RoutingTable BuildRoutingTable(const Configuration& configuration,
                               const std::vector<DomainLink>& links) {
  RoutingTable table;
  for (const Service& it : configuration.services()) {
    table.services.push_back(ToServiceEntry(it));
  }
  for (const Customer& it : configuration.customers()) {
    table.customers.push_back({it.name, it.priority});
  }
  for (const Account& it : configuration.accounts()) {
    table.accounts.push_back({it.name, it.customer, it.request_rate});
  }
  table.links = links;
  return table;
}

std::vector<EndpointId> EndpointsOnHosts(const Configuration& configuration,
                                         const std::set<std::string>& leaving_hosts) {
  std::set<std::string> addresses = leaving_hosts;
  for (const Worker& it : configuration.workers()) {
    if (leaving_hosts.contains(it.name.str())) {
      addresses.insert(IpFromAddress(it.address));
    }
  }
  std::vector<EndpointId> endpoints;
  for (const Service& service : configuration.services()) {
    for (const Endpoint& it : service.endpoints) {
      if (addresses.contains(IpFromAddress(it.address))) {
        endpoints.push_back(it.id);
      }
    }
  }
  return endpoints;
}

}  // namespace cactusshelf
