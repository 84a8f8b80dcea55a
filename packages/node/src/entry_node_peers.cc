#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "cactusshelf/base/errors.h"
#include "entry_node_impl.h"

namespace cactusshelf {

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::PeerMessage& event) {
  try {
    OnEnvelope(now, DecodePeerEnvelope(event.bytes));
  } catch (const DecodeError& error) {
    counters_.Add("cactusshelf_peer_messages_refused_total", "undecodable");
    EmitLogEvent(LogEvent(LogLevel::kWarning, "peer_message_refused").With("reason", error.what()));
  }
}

void EntryNode::Impl::OnEnvelope(const Now& now, PeerEnvelope envelope) {
  // A process that restarted at the same address is a different member, so messages to its
  // predecessor are dropped.
  if (!envelope.to.empty() && envelope.to != self_) {
    counters_.Add("cactusshelf_peer_messages_refused_total", "other_member");
    return;
  }
  if (auto* router = std::get_if<RouterMessage>(&envelope.payload)) {
    OnRouterMessage(now, envelope.from, std::move(*router));
  } else if (const auto* membership = std::get_if<MembershipMessage>(&envelope.payload)) {
    OnMembershipMessage(now, envelope.from, *membership);
  } else if (const auto* request = std::get_if<CatchUpRequest>(&envelope.payload)) {
    OnCatchUpRequest(envelope.from, *request);
  } else {
    const bool was_loaded = reader_.loaded();
    const auto result =
        reader_.OnCatchUpReply(std::get<CatchUpReply>(envelope.payload), MakeAppliedCallback(now));
    if (!result.error.empty()) {
      EmitLogEvent(LogEvent(LogLevel::kWarning, "catch_up_refused")
                       .With("from", envelope.from.str())
                       .With("reason", result.error));
    }
    if (was_loaded && result.records_skipped) {
      OnRecordsSkipped(now);
    }
  }
}

void EntryNode::Impl::OnRouterMessage(const Now& now, const MemberId& from, RouterMessage message) {
  if (!state().members().contains(from)) {
    counters_.Add("cactusshelf_peer_messages_refused_total", "not_a_member");
    return;
  }
  gateway_.router().OnPeerMessage(now, from, std::move(message));
}

void EntryNode::Impl::OnMembershipMessage(const Now& now, const MemberId& from,
                                          const MembershipMessage& message) {
  RequestCatchUpIfBehind(now, from, message);
  CollectMembershipEffects(now, membership_.OnMessage(now.monotonic, message));
  // The epoch that a peer reports can start an ownership of this member.
  UpdateCells(now);
}

void EntryNode::Impl::RequestCatchUpIfBehind(const Now& now, const MemberId& from,
                                             const MembershipMessage& message) {
  std::optional<Offset> offset;
  if (const auto* ping = std::get_if<Ping>(&message)) {
    offset = ping->gossip.status.log_offset;
  } else if (const auto* ack = std::get_if<Ack>(&message)) {
    offset = ack->gossip.status.log_offset;
  }
  if (offset && options_.protections.catch_up_from_peers &&
      reader_.ShouldRequestCatchUp(now.monotonic, *offset)) {
    SendToMember(from, CatchUpRequest{state().offset(), options_.peer_address});
  }
}

void EntryNode::Impl::OnCatchUpRequest(const MemberId& from, const CatchUpRequest& request) {
  if (!reader_.loaded()) {
    return;
  }
  CatchUpReply reply = reader_.MakeCatchUpReply(request);
  counters_.Add("cactusshelf_catch_up_total", "answered");
  SendToAddress(request.reply_address, from, std::move(reply));
}

// A process that has not loaded the log has no member list, so it uses the addresses in its
// settings.
void EntryNode::Impl::RequestCatchUpFromSeedPeer(const Now& now) {
  if (phase_ != Phase::kLoading || options_.seed_peers.empty() ||
      now.monotonic < next_seed_request_) {
    return;
  }
  next_seed_request_ = now.monotonic + LogReader::kCatchUpInterval;
  const std::string& address = options_.seed_peers[random_.Below(options_.seed_peers.size())];
  if (address != options_.peer_address) {
    SendToAddress(address, MemberId(), CatchUpRequest{state().offset(), options_.peer_address});
  }
}

void EntryNode::Impl::SendToMember(const MemberId& to, PeerPayload payload) {
  const auto it = state().members().find(to);
  if (it == state().members().end()) {
    counters_.Add("cactusshelf_peer_messages_refused_total", "unknown_receiver");
    return;
  }
  SendToAddress(it->second.peer_address, to, std::move(payload));
}

void EntryNode::Impl::SendToAddress(const std::string& address, const MemberId& to,
                                    PeerPayload payload) {
  std::string bytes = EncodePeerEnvelope({self_, to, std::move(payload)});
  counters_.Add("cactusshelf_peer_bytes_total", "sent", bytes.size());
  effects_.emplace_back(node_effect::SendToPeer{address, std::move(bytes)});
}

}  // namespace cactusshelf
