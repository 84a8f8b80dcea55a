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

// Switches for individual safety mechanisms. Tests turn a mechanism off to verify that their checks
// detect its absence. Production code leaves all switches at their defaults.
struct NodeProtections {
  bool finish_before_stop = true;     // A graceful stop waits for requests in flight.
  bool attest_only_when_idle = true;  // A member attests only with no request in flight.
  bool catch_up_from_peers = true;    // Peers supply records while log reads fail.
};

// Identity and settings of one entry host process.
struct NodeOptions {
  std::string host_name;  // Name of the entry host, as in the host list.
  // Start time of this process in microseconds since 1970 (UTC). Must be greater than the
  // incarnation of every earlier process on the same host.
  std::uint64_t incarnation = 0;
  DomainId domain;
  std::string peer_address;  // "IP:port" at which peers reach this process.
  std::string http_address;  // "IP:port" at which callers and operators reach this process.
  Duration authority_lease = std::chrono::seconds(2);
  Duration max_clock_skew = std::chrono::milliseconds(500);
  Duration claim_window = std::chrono::minutes(10);
  Duration max_request_timeout = std::chrono::seconds(30);
  Duration task_lease = std::chrono::seconds(15);
  Duration log_retention = std::chrono::hours(24);
  Duration gossip_period = std::chrono::milliseconds(500);
  Duration host_list_period = std::chrono::seconds(2);
  std::size_t max_body_bytes = 1 << 20;
  // Peer addresses from which a process without state requests records while log reads fail.
  std::vector<std::string> seed_peers;
  // Distance and cost of the links from this failure domain to the other failure domains.
  std::vector<DomainLink> links;
  double tail_latency_weight = 1.0;
  double eviction_weight = 1.0;
  double throughput_weight = 1.0;
  NodeProtections protections;
};

// Deterministic state machine that makes all decisions of one entry host: the same events at the
// same times with the same seed give the same effects. The shell, which performs the I/O, reports
// events in the order in which they occur, with times that never decrease, and carries out the
// effects after each call. Not thread-safe; all calls must come from one thread.
class EntryNode {
 public:
  EntryNode(NodeOptions options, std::uint64_t seed);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // Starts reading the log and the host list. Must be called once, before the first Handle.
  void Start(const Now& now);

  void Handle(const Now& now, const NodeEvent& event);

  // Returns the effects since the last call, in the order in which they must be carried out.
  std::vector<NodeEffect> TakeEffects();

  // Time at which the shell must report Timer; empty if no timer is needed.
  std::optional<Time> NextWakeup() const;

  // Whether the node serves requests; false before it has joined and once it starts draining.
  bool ready() const;

  // JSON object for GET /v1/status: member, revision in force with its time, offset, members.
  std::string Status(const Now& now) const;

  // Metrics in the Prometheus text format, for GET /metrics.
  std::string Metrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_ENTRY_NODE_H_
