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
  Duration default_deadline{};    // For requests without a timeout.
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

// Cost of the links from one failure domain to another. Links that are not listed cost nothing.
struct DomainLink {
  DomainId from;
  DomainId to;
  Duration distance{};   // One way.
  Duration link_cost{};  // Latency that one request may save at most by using the link.
};

// The part of the configuration in force that a router needs. Immutable.
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
