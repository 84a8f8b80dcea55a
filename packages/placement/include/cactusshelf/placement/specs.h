#ifndef CACTUSSHELF_PLACEMENT_SPECS_H_
#define CACTUSSHELF_PLACEMENT_SPECS_H_

#include <cstdint>
#include <vector>

#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"

// Specifications of the workers, teams and jobs of a cell, from the configuration and the log.
namespace cactusshelf {

// The endpoints of one latency-critical service that run on a worker.
struct ServiceOnWorker {
  ServiceId service;
  std::uint32_t endpoints = 1;
  Resources endpoint_size;  // Of one endpoint; not available to batch tasks.

  friend bool operator==(const ServiceOnWorker&, const ServiceOnWorker&) = default;
};

struct WorkerSpec {
  WorkerId id;
  DomainId domain;
  RackId rack;
  Resources capacity;
  std::vector<ServiceOnWorker> services;

  friend bool operator==(const WorkerSpec&, const WorkerSpec&) = default;
};

struct TeamSpec {
  TeamId id;
  CustomerId customer;
  int priority = 0;  // Set by the customer; jobs of a higher priority start first.
  Resources quota;   // Limit on the sum of the declared sizes of running tasks.

  friend bool operator==(const TeamSpec&, const TeamSpec&) = default;
};

struct JobSpec {
  JobId id;
  TeamId team;
  CustomerId customer;
  JobClass job_class;
  std::uint32_t tasks = 1;
  Resources size;  // Declared size of one task.
  Duration expected_run_time{};
  bool urgent = false;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SPECS_H_
