#ifndef CACTUSSHELF_NODE_PEER_CODEC_H_
#define CACTUSSHELF_NODE_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/connection/router_message.h"
#include "cactusshelf/membership/peer_messages.h"
#include "cactusshelf/version/offset.h"

namespace cactusshelf {

// Asks a peer for the log records from `from` on, while log reads fail. The sender may not have
// joined yet, so the message carries the address for the reply.
struct CatchUp {
  Offset from = 0;
  std::string reply_to;
};

struct CatchUpRecord {
  Offset offset = 0;
  WallTime time{};
  std::string data;
};

// Consecutive records, or a snapshot if the sender no longer holds the records asked for. `chain`
// is the chain of the sender after the last record or of the snapshot.
struct CatchUpReply {
  std::vector<CatchUpRecord> records;
  std::optional<std::string> snapshot;
  Offset next = 0;
  std::string chain;
};

using PeerPayload = std::variant<RouterMessage, MembershipMessage, CatchUp, CatchUpReply>;

// A message between two entry host processes. `to` is empty if the sender does not know who listens
// at the address.
struct PeerEnvelope {
  MemberId from;
  MemberId to;
  PeerPayload payload;
};

// Largest message that a peer may send. Snapshots at the target size are about 6 MB.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{16} << 20;

// CBOR array; field names are left out since claims and probes are sent often.
std::string EncodePeerEnvelope(const PeerEnvelope& envelope);

// Throws DecodeError for bytes that are not a message.
PeerEnvelope DecodePeerEnvelope(std::string_view bytes);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_PEER_CODEC_H_
