#ifndef CACTUSSHELF_JOBS_TESTS_PROCESSOR_COSTS_H_
#define CACTUSSHELF_JOBS_TESTS_PROCESSOR_COSTS_H_

#include "cactusshelf/jobs/job_event.h"

namespace cactusshelf::jobs {

// Processor time of a node for its events and effects, on a whole processor. The defaults follow
// docs/CAPACITY.md: 2 ms for a start of five to seven HTTP calls, of which a call is sent and its
// answer handled.
struct ProcessorCosts {
  Duration sent_call = std::chrono::microseconds(200);
  Duration handled_answer = std::chrono::microseconds(150);
  // A message between nodes, and 1,000 bytes of it. A relayed order with its answer has about 500
  // bytes; the owner of 490 workers with about 500 starts a second needs 0.28 to 0.43 of a
  // processor.
  Duration peer_message = std::chrono::microseconds(50);
  Duration peer_kilobyte = std::chrono::microseconds(500);
  // A record that is read or appended.
  Duration record = std::chrono::microseconds(11);
  Duration log_line = std::chrono::microseconds(20);
  // Part of a processor that a node has.
  double processor_share = 0.5;
};

// Time for which a node is busy with handling `event`, without its effects. Thread-safe.
Duration CostOf(const JobEvent& event, const ProcessorCosts& costs);

// Time for which a node is busy with carrying out `effect`. Thread-safe.
Duration CostOf(const JobEffect& effect, const ProcessorCosts& costs);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_TESTS_PROCESSOR_COSTS_H_
