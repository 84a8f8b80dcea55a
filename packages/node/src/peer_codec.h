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

// Requests the log records from offset `from` on from a peer, while log reads fail. The sender may
// not have joined yet, so the message contains the address for the reply.
struct CatchUpRequest {
  Offset from = 0;
  std::string reply_address;
};

struct CatchUpRecord {
  Offset offset = 0;
  WallTime time{};
  std::string data;
};

// Consecutive records, or a snapshot if the sender no longer has the requested records. `next` is
// the offset after the last record or of the snapshot, and `chain` is the sender's chain at that
// offset.
struct CatchUpReply {
  std::vector<CatchUpRecord> records;
  std::optional<std::string> snapshot;
  Offset next = 0;
  std::string chain;
};

using PeerPayload = std::variant<RouterMessage, MembershipMessage, CatchUpRequest, CatchUpReply>;

// A message between two entry host processes. `to` is empty if the sender does not know which
// member listens at the address.
struct PeerEnvelope {
  MemberId from;
  MemberId to;
  PeerPayload payload;
};

// Size limit of messages from peers. Snapshots at the target size are about 6 MB.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{16} << 20;

// Encodes an envelope as a CBOR array. Field names are omitted because claims and probes are
// frequent.
std::string EncodePeerEnvelope(const PeerEnvelope& envelope);

// Decodes an envelope. Throws DecodeError if `bytes` are too large or not a valid message.
PeerEnvelope DecodePeerEnvelope(std::string_view bytes);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_PEER_CODEC_H_
