#include "peer_codec.h"

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "cactusshelf/base/cbor.h"
#include "cactusshelf/base/errors.h"

namespace cactusshelf {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kEnvelopeFields = 4;
constexpr int kMaxDepth = 8;

enum class MessageType : std::uint8_t {
  kClaim,
  kClaimReply,
  kClaimDone,
  kFetchAnswer,
  kAnswer,
  kLend,
  kReturn,
  kDemand,
  kPing,
  kPingReq,
  kAck,
  kConfirm,
  kConfirmReply,
  kCatchUp,
  kCatchUpReply,
};

Json Bytes(const std::string& text) {
  return Json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string ToText(const Json& json) {
  const auto& bytes = json.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

template <typename Tag>
StrongId<Tag> ToId(const Json& json) {
  return StrongId<Tag>(json.get<std::string>());
}

// Reads an enumerator and checks it against the last one.
template <typename Enum>
Enum ToEnum(const Json& json, Enum last) {
  const auto value = json.get<std::uint64_t>();
  if (value > static_cast<std::uint64_t>(last)) {
    throw DecodeError("peer message: enumerator out of range");
  }
  return static_cast<Enum>(value);
}

RequestId ToRequestId(const Json& json) {
  const auto id = RequestId::Parse(json.get_ref<const std::string&>());
  if (!id) {
    throw DecodeError("peer message: invalid request id");
  }
  return *id;
}

const Json& At(const Json& fields, std::size_t index) { return fields.at(index); }

// Router messages.

Json Fields(const Claim& claim) { return {claim.id.ToString(), claim.number}; }

Json Fields(const ClaimReply& reply) {
  return {reply.id.ToString(), reply.number, static_cast<int>(reply.verdict),
          static_cast<int>(reply.reason), reply.runner.str()};
}

Json Fields(const ClaimDone& done) {
  return {done.id.ToString(), done.number, static_cast<int>(done.outcome)};
}

Json Fields(const FetchAnswer& fetch) { return {fetch.id.ToString(), fetch.number}; }

Json Fields(const Answer& answer) {
  Json headers = Json::array();
  for (const Header& it : answer.response.headers) {
    headers.push_back(Json::array({it.name, Bytes(it.value)}));
  }
  const std::string body = answer.response.body ? *answer.response.body : std::string();
  return {answer.id.ToString(),
          answer.number,
          answer.found,
          static_cast<int>(answer.outcome),
          static_cast<int>(answer.reason),
          answer.response.status,
          std::move(headers),
          Bytes(body)};
}

Json SlotFields(const std::vector<SlotSet>& slots) {
  Json list = Json::array();
  for (const SlotSet& it : slots) {
    list.push_back(Json::array({it.endpoint.str(), it.slots}));
  }
  return list;
}

Json Fields(const LeaseGrant& lend) {
  return {lend.requested_at.time_since_epoch().count(), lend.lease.count(), lend.number,
          SlotFields(lend.slots)};
}

Json Fields(const SlotReturn& message) {
  return {message.number, SlotFields(message.slots), message.endpoints_unusable, message.transfer,
          message.is_confirmation};
}

Json EndpointFields(const std::vector<EndpointId>& endpoints) {
  Json list = Json::array();
  for (const EndpointId& it : endpoints) {
    list.push_back(it.str());
  }
  return list;
}

Json Fields(const DemandReport& demand) {
  Json services = Json::array();
  for (const SlotDemand& it : demand.services) {
    services.push_back(Json::array({it.service.str(), it.slots}));
  }
  return {demand.requested_at.time_since_epoch().count(), std::move(services),
          EndpointFields(demand.leaving)};
}

// Membership messages. The sender is in the envelope.

Json GossipFields(const Gossip& gossip) {
  Json rumors = Json::array();
  for (const Rumor& it : gossip.rumors) {
    rumors.push_back(
        Json::array({it.member.str(), it.version, static_cast<int>(it.state), it.reporter.str()}));
  }
  return {gossip.status.log_offset, gossip.status.epoch, std::move(rumors),
          EndpointFields(gossip.leaving_endpoints)};
}

Json Fields(const Ping& ping) { return Json::array({ping.sequence, GossipFields(ping.gossip)}); }

Json Fields(const PingReq& request) {
  return {request.sequence, request.target.str(), GossipFields(request.gossip)};
}

Json Fields(const Ack& ack) { return {ack.sequence, ack.target.str(), GossipFields(ack.gossip)}; }

Json Fields(const Confirm& confirm) { return Json::array({confirm.query}); }

Json Fields(const ConfirmReply& reply) { return {reply.query, reply.epoch, reply.promised}; }

// Log records for lagging members.

Json Fields(const CatchUp& request) { return Json::array({request.from, request.reply_to}); }

Json Fields(const CatchUpReply& reply) {
  Json records = Json::array();
  for (const CatchUpRecord& it : reply.records) {
    records.push_back(Json::array({it.offset, it.time.time_since_epoch().count(), Bytes(it.data)}));
  }
  return {std::move(records), reply.snapshot ? Bytes(*reply.snapshot) : Json(), reply.next,
          reply.chain};
}

MessageType TypeOf(const PeerPayload& payload) {
  struct Visitor {
    MessageType operator()(const RouterMessage& message) const {
      return static_cast<MessageType>(message.index());
    }
    MessageType operator()(const MembershipMessage& message) const {
      return static_cast<MessageType>(static_cast<std::size_t>(MessageType::kPing) +
                                      message.index());
    }
    MessageType operator()(const CatchUp& /*message*/) const { return MessageType::kCatchUp; }
    MessageType operator()(const CatchUpReply& /*message*/) const {
      return MessageType::kCatchUpReply;
    }
  };
  return std::visit(Visitor{}, payload);
}

Json PayloadFields(const PeerPayload& payload) {
  struct Visitor {
    Json operator()(const RouterMessage& message) const {
      return std::visit([](const auto& it) { return Fields(it); }, message);
    }
    Json operator()(const MembershipMessage& message) const {
      return std::visit([](const auto& it) { return Fields(it); }, message);
    }
    Json operator()(const CatchUp& message) const { return Fields(message); }
    Json operator()(const CatchUpReply& message) const { return Fields(message); }
  };
  return std::visit(Visitor{}, payload);
}

// Decoding.

std::vector<SlotSet> ToSlots(const Json& json) {
  std::vector<SlotSet> slots;
  for (const Json& it : json) {
    slots.push_back({ToId<EndpointTag>(At(it, 0)), At(it, 1).get<std::uint64_t>()});
  }
  return slots;
}

std::vector<EndpointId> ToEndpoints(const Json& json) {
  std::vector<EndpointId> endpoints;
  for (const Json& it : json) {
    endpoints.push_back(ToId<EndpointTag>(it));
  }
  return endpoints;
}

Time ToTime(const Json& json) { return Time(Duration(json.get<Duration::rep>())); }

Answer ToAnswer(const Json& fields) {
  Answer answer{ToRequestId(At(fields, 0)),
                At(fields, 1).get<FetchNumber>(),
                false,
                Outcome::kUnknown,
                Reason::kNone,
                Response{}};
  answer.found = At(fields, 2).get<bool>();
  answer.outcome = ToEnum(At(fields, 3), Outcome::kUnknown);
  answer.reason = ToEnum(At(fields, 4), Reason::kCallerGone);
  answer.response.status = At(fields, 5).get<int>();
  for (const Json& it : At(fields, 6)) {
    answer.response.headers.push_back({At(it, 0).get<std::string>(), ToText(At(it, 1))});
  }
  answer.response.body = std::make_shared<const std::string>(ToText(At(fields, 7)));
  return answer;
}

DemandReport ToDemand(const Json& fields) {
  DemandReport demand;
  demand.requested_at = ToTime(At(fields, 0));
  for (const Json& it : At(fields, 1)) {
    demand.services.push_back({ToId<ServiceTag>(At(it, 0)), At(it, 1).get<std::uint32_t>()});
  }
  demand.leaving = ToEndpoints(At(fields, 2));
  return demand;
}

Gossip ToGossip(const Json& json) {
  Gossip gossip;
  gossip.status.log_offset = At(json, 0).get<std::uint64_t>();
  gossip.status.epoch = At(json, 1).get<std::uint64_t>();
  for (const Json& it : At(json, 2)) {
    gossip.rumors.push_back({ToId<MemberTag>(At(it, 0)), At(it, 1).get<std::uint64_t>(),
                             ToEnum(At(it, 2), Liveness::kSuspect), ToId<MemberTag>(At(it, 3))});
  }
  gossip.leaving_endpoints = ToEndpoints(At(json, 3));
  return gossip;
}

CatchUpReply ToCatchUpReply(const Json& fields) {
  CatchUpReply reply;
  for (const Json& it : At(fields, 0)) {
    const WallTime time{WallTime::duration(At(it, 1).get<WallTime::rep>())};
    reply.records.push_back({At(it, 0).get<Offset>(), time, ToText(At(it, 2))});
  }
  if (!At(fields, 1).is_null()) {
    reply.snapshot = ToText(At(fields, 1));
  }
  reply.next = At(fields, 2).get<Offset>();
  reply.chain = At(fields, 3).get<std::string>();
  return reply;
}

PeerPayload ToPayload(MessageType type, const MemberId& from, const Json& fields) {
  switch (type) {
    case MessageType::kClaim:
      return RouterMessage(Claim{ToRequestId(At(fields, 0)), At(fields, 1).get<ClaimNumber>()});
    case MessageType::kClaimReply:
      return RouterMessage(ClaimReply{ToRequestId(At(fields, 0)), At(fields, 1).get<ClaimNumber>(),
                                      ToEnum(At(fields, 2), ClaimVerdict::kNoAuthority),
                                      ToEnum(At(fields, 3), Reason::kCallerGone),
                                      ToId<MemberTag>(At(fields, 4))});
    case MessageType::kClaimDone:
      return RouterMessage(ClaimDone{ToRequestId(At(fields, 0)), At(fields, 1).get<ClaimNumber>(),
                                     ToEnum(At(fields, 2), Outcome::kUnknown)});
    case MessageType::kFetchAnswer:
      return RouterMessage(
          FetchAnswer{ToRequestId(At(fields, 0)), At(fields, 1).get<FetchNumber>()});
    case MessageType::kAnswer:
      return RouterMessage(ToAnswer(fields));
    case MessageType::kLend:
      return RouterMessage(LeaseGrant{ToTime(At(fields, 0)),
                                      Duration(At(fields, 1).get<Duration::rep>()),
                                      At(fields, 2).get<LeaseNumber>(), ToSlots(At(fields, 3))});
    case MessageType::kReturn:
      return RouterMessage(SlotReturn{
          At(fields, 0).get<LeaseNumber>(), ToSlots(At(fields, 1)), At(fields, 2).get<bool>(),
          At(fields, 3).get<TransferNumber>(), At(fields, 4).get<bool>()});
    case MessageType::kDemand:
      return RouterMessage(ToDemand(fields));
    case MessageType::kPing:
      return MembershipMessage(
          Ping{from, At(fields, 0).get<std::uint64_t>(), ToGossip(At(fields, 1))});
    case MessageType::kPingReq:
      return MembershipMessage(PingReq{from, At(fields, 0).get<std::uint64_t>(),
                                       ToId<MemberTag>(At(fields, 1)), ToGossip(At(fields, 2))});
    case MessageType::kAck:
      return MembershipMessage(Ack{from, At(fields, 0).get<std::uint64_t>(),
                                   ToId<MemberTag>(At(fields, 1)), ToGossip(At(fields, 2))});
    case MessageType::kConfirm:
      return MembershipMessage(Confirm{from, At(fields, 0).get<std::uint64_t>()});
    case MessageType::kConfirmReply:
      return MembershipMessage(ConfirmReply{from, At(fields, 0).get<std::uint64_t>(),
                                            At(fields, 1).get<Epoch>(), At(fields, 2).get<bool>()});
    case MessageType::kCatchUp:
      return CatchUp{At(fields, 0).get<Offset>(), At(fields, 1).get<std::string>()};
    case MessageType::kCatchUpReply:
      return ToCatchUpReply(fields);
  }
  throw DecodeError("peer message: unknown type");
}

}  // namespace

std::string EncodePeerEnvelope(const PeerEnvelope& envelope) {
  const Json json =
      Json::array({envelope.from.str(), envelope.to.str(),
                   static_cast<int>(TypeOf(envelope.payload)), PayloadFields(envelope.payload)});
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

PeerEnvelope DecodePeerEnvelope(std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    throw DecodeError("peer message: too large");
  }
  try {
    const Json json = DecodeCbor(bytes, kMaxDepth);
    if (!json.is_array() || json.size() != kEnvelopeFields) {
      throw DecodeError("peer message: not an envelope");
    }
    const auto from = ToId<MemberTag>(json[0]);
    const auto type = ToEnum(json[2], MessageType::kCatchUpReply);
    return {from, ToId<MemberTag>(json[1]), ToPayload(type, from, json[3])};
  } catch (const Json::exception& ec) {
    throw DecodeError(std::string("peer message: ") + ec.what());
  }
}

}  // namespace cactusshelf
