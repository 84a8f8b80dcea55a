#ifndef CACTUSSHELF_CONNECTION_ROUTING_TABLE_H_
#define CACTUSSHELF_CONNECTION_ROUTING_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

struct EndpointEntry {
  EndpointId id;
  std::string address;  // "<ip>:<port>"
  DomainId domain;
};

struct ServiceEntry {
  ServiceId id;
  CustomerId customer;
  std::uint32_t slots = 0;        // Per endpoint, over all entry hosts; at most 64.
  std::uint32_t connections = 0;  // Per endpoint, over all entry hosts.
  Duration default_deadline{};    // Applies to requests without a timeout.
  std::vector<EndpointEntry> endpoints;
};

struct CustomerEntry {
  CustomerId id;
  int priority = 0;  // A higher value is served first.
};

struct AccountEntry {
  AccountId id;
  CustomerId customer;
  double rate = 0;  // Requests per second and entry host; 0 means unlimited.
};

// Cost of the link from one failure domain to another. A link that is not listed has zero cost.
struct DomainLink {
  DomainId from;
  DomainId to;
  Duration distance{};  // One way.
  // Minimum latency that a request must save, beyond the round trip, to be sent over the link.
  Duration link_cost{};
};

// The part of the active configuration that a router uses. Immutable.
struct RoutingTable {
  std::vector<ServiceEntry> services;
  std::vector<CustomerEntry> customers;
  std::vector<AccountEntry> accounts;
  std::vector<DomainLink> links;
};

// A registered entry host.
struct RouterMember {
  MemberId id;
  DomainId domain;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ROUTING_TABLE_H_
