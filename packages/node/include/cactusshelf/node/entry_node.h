#ifndef CACTUSSHELF_NODE_ENTRY_NODE_H_
#define CACTUSSHELF_NODE_ENTRY_NODE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/connection/routing_table.h"
#include "cactusshelf/node/node_effect.h"
#include "cactusshelf/node/node_event.h"

namespace cactusshelf {

// Switches that disable one protection each, so that tests can show that their checks fail without
// it. Production code leaves all of them at their defaults.
struct NodeProtections {
  bool finish_before_stop = true;     // A planned stop waits for the requests in flight.
  bool attest_only_when_idle = true;  // A member attests only with nothing in flight.
  bool catch_up_from_peers = true;    // Records come from peers while the log cannot be read.
};

// What one process knows of itself from its settings.
struct NodeOptions {
  std::string host_name;  // Name of the entry host, as in the host list.
  // Start time of this process in microseconds since 1970; greater than that of earlier ones on
  // the host.
  std::uint64_t incarnation = 0;
  DomainId domain;
  std::string peer_address;  // "IP:port" at which peers reach this process.
  std::string http_address;  // "IP:port" at which callers and operators reach it.
  Duration authority_lease = std::chrono::seconds(2);
  Duration max_clock_skew = std::chrono::milliseconds(500);
  Duration claim_window = std::chrono::minutes(10);
  Duration max_request_timeout = std::chrono::seconds(30);
  Duration task_lease = std::chrono::seconds(15);
  Duration log_retention = std::chrono::hours(24);
  Duration gossip_period = std::chrono::milliseconds(500);
  Duration host_list_period = std::chrono::seconds(2);
  std::size_t max_body_bytes = 1 << 20;
  // Peer addresses that a process without state asks while the log cannot be read.
  std::vector<std::string> seed_peers;
  // Distance and cost of the links from this failure domain to others.
  std::vector<DomainLink> links;
  double tail_latency_weight = 1.0;
  double eviction_weight = 1.0;
  double throughput_weight = 1.0;
  NodeProtections protections;
};

// All decisions of one entry host as a deterministic state machine: the same events at the same
// times with the same seed give the same effects. The shell reports events in the order in which
// they occur, with times that never decrease, and carries out the effects after each call.
// Not thread-safe; all calls come from one thread.
class EntryNode {
 public:
  EntryNode(NodeOptions options, std::uint64_t seed);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // Starts reading the log and the host list. Call once, before the first Handle.
  void Start(const Now& now);

  void Handle(const Now& now, const NodeEvent& event);

  // Effects since the last call, in the order in which they must be carried out.
  std::vector<NodeEffect> TakeEffects();

  // When to report Timer, or nothing.
  std::optional<Time> NextWakeup() const;

  // True once the node serves requests, false again from the start of draining.
  bool ready() const;

  // JSON object for GET /v1/status: member, revision in force and since when, offset, members.
  std::string Status(const Now& now) const;

  // Prometheus text for GET /metrics.
  std::string Metrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_ENTRY_NODE_H_
