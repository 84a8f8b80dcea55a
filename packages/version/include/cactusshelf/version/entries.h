#ifndef CACTUSSHELF_VERSION_ENTRIES_H_
#define CACTUSSHELF_VERSION_ENTRIES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cactusshelf/base/findings.h"
#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// [[customer]]
struct Customer {
  CustomerId name;
  // 0 to 100; a higher priority is served first.
  std::int32_t priority = 0;

  friend bool operator==(const Customer&, const Customer&) = default;
};

// [[account]]
struct Account {
  AccountId name;
  CustomerId customer;
  // Requests per second; greater than 0.
  double request_rate = 0;

  friend bool operator==(const Account&, const Account&) = default;
};

// [[team]]
struct Team {
  TeamId name;
  CustomerId customer;
  Resources quota;

  friend bool operator==(const Team&, const Team&) = default;
};

// Element of `endpoints` of [[service]].
struct Endpoint {
  // "<service>/<address>".
  EndpointId id;
  // "<IP address>:<port>".
  std::string address;
  DomainId domain;
  RackId rack;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

// [[service]]
struct Service {
  ServiceId name;
  CustomerId customer;
  // For each endpoint, shared by all entry hosts.
  std::int32_t slots = 0;
  std::int32_t connections = 0;
  Duration default_deadline{0};
  // What one endpoint takes of the worker at its IP address; zero if not declared.
  Resources endpoint_need;
  std::vector<Endpoint> endpoints;

  friend bool operator==(const Service&, const Service&) = default;
};

// [[worker]]
struct Worker {
  WorkerId name;
  // "<IP address>:<port>".
  std::string address;
  DomainId domain;
  RackId rack;
  CellId cell;
  Resources capacity;

  friend bool operator==(const Worker&, const Worker&) = default;
};

// [[job]]
struct Job {
  JobId name;
  TeamId team;
  JobClass job_class;
  std::int32_t tasks = 0;
  // For each task.
  Resources need;
  Duration expected_run_time{0};
  bool urgent = false;
  bool cancelled = false;

  friend bool operator==(const Job&, const Job&) = default;
};

// [[retirement]]
struct Retirement {
  CustomerId customer;

  friend bool operator==(const Retirement&, const Retirement&) = default;
};

enum class EntryKind {
  kCustomer,
  kAccount,
  kTeam,
  kService,
  kWorker,
  kJob,
  kRetirement,
  // Address of an endpoint or worker, indexed only to find duplicates.
  kAddress,
};

// Name of the TOML table, for instance "customer".
std::string_view ToString(EntryKind kind);

// Identifies an entry within a file set. A retirement is named by its customer.
struct EntryKey {
  EntryKind kind = EntryKind::kCustomer;
  std::string name;

  // "<kind> <name>".
  std::string Format() const;

  friend auto operator<=>(const EntryKey&, const EntryKey&) = default;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_ENTRIES_H_
