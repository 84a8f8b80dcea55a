#ifndef CACTUSSHELF_MEMBERSHIP_PEER_MESSAGES_H_
#define CACTUSSHELF_MEMBERSHIP_PEER_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/membership/ownership_map.h"

namespace cactusshelf {

enum class Liveness { kAlive, kSuspect };

// A claim about the liveness of a member, disseminated by gossip.
struct Rumor {
  MemberId member;
  // Incremented by `member` alone, to refute a suspicion. A claim with a higher version overrides
  // one with a lower version; with equal versions kSuspect overrides kAlive.
  std::uint64_t version = 0;
  Liveness state = Liveness::kAlive;
  // For kSuspect: the member whose own probes of `member` failed.
  MemberId reporter;

  friend bool operator==(const Rumor&, const Rumor&) = default;
};

// State of the sender itself. Not forwarded by the receiver.
struct PeerStatus {
  // Lowest log offset that the sender has not applied.
  std::uint64_t log_offset = 0;
  // OwnershipTracker::SettledEpoch of the sender.
  Epoch epoch = 0;

  friend bool operator==(const PeerStatus&, const PeerStatus&) = default;
};

// Piggybacked on each Ping, PingReq and Ack.
struct Gossip {
  PeerStatus status;
  std::vector<Rumor> rumors;
  // Endpoints that a member has observed leaving. Forwarded by the receiver.
  std::vector<EndpointId> leaving_endpoints;

  friend bool operator==(const Gossip&, const Gossip&) = default;
};

// Asks the receiver for an Ack with the same sequence number.
struct Ping {
  MemberId from;
  std::uint64_t sequence = 0;
  Gossip gossip;

  friend bool operator==(const Ping&, const Ping&) = default;
};

// Asks the receiver to ping `target` and to forward its Ack.
struct PingReq {
  MemberId from;
  std::uint64_t sequence = 0;
  MemberId target;
  Gossip gossip;

  friend bool operator==(const PingReq&, const PingReq&) = default;
};

struct Ack {
  MemberId from;
  std::uint64_t sequence = 0;
  // The member that is alive: the sender, or the target of a PingReq.
  MemberId target;
  Gossip gossip;

  friend bool operator==(const Ack&, const Ack&) = default;
};

// Asks the receiver for its settled epoch, and to promise not to take over from the sender.
struct Confirm {
  MemberId from;
  std::uint64_t query = 0;

  friend bool operator==(const Confirm&, const Confirm&) = default;
};

struct ConfirmReply {
  MemberId from;
  std::uint64_t query = 0;
  // OwnershipTracker::SettledEpoch of the sender.
  Epoch epoch = 0;
  // The querying member is in the sender's map, and the sender will not take over from that member
  // within `authority_lease` of this reply.
  bool promised = false;

  friend bool operator==(const ConfirmReply&, const ConfirmReply&) = default;
};

using MembershipMessage = std::variant<Ping, PingReq, Ack, Confirm, ConfirmReply>;

struct OutgoingMessage {
  MemberId to;
  MembershipMessage message;

  friend bool operator==(const OutgoingMessage&, const OutgoingMessage&) = default;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_PEER_MESSAGES_H_
