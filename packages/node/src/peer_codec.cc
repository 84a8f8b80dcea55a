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
constexpr int kMaxCborDepth = 8;

enum class MessageType : std::uint8_t {
  kClaim,
  kClaimReply,
  kClaimDone,
  kFetchAnswer,
  kAnswer,
  kLeaseGrant,
  kSlotReturn,
  kDemandReport,
  kPing,
  kPingReq,
  kAck,
  kConfirm,
  kConfirmReply,
  kCatchUpRequest,
  kCatchUpReply,
};

Json ToBinary(const std::string& text) {
  return Json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string BinaryToString(const Json& json) {
  const auto& bytes = json.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

template <typename Tag>
StrongId<Tag> DecodeId(const Json& json) {
  return StrongId<Tag>(json.get<std::string>());
}

// Decodes an enumerator. Throws DecodeError if the value exceeds `last`.
template <typename Enum>
Enum DecodeEnum(const Json& json, Enum last) {
  const auto value = json.get<std::uint64_t>();
  if (value > static_cast<std::uint64_t>(last)) {
    throw DecodeError("peer message: enumerator out of range");
  }
  return static_cast<Enum>(value);
}

RequestId DecodeRequestId(const Json& json) {
  const auto id = RequestId::Parse(json.get_ref<const std::string&>());
  if (!id) {
    throw DecodeError("peer message: invalid request id");
  }
  return *id;
}

const Json& Element(const Json& fields, std::size_t index) { return fields.at(index); }

// Router messages.

Json EncodeFields(const Claim& claim) { return {claim.id.ToString(), claim.number}; }

Json EncodeFields(const ClaimReply& reply) {
  return {reply.id.ToString(), reply.number, static_cast<int>(reply.verdict),
          static_cast<int>(reply.reason), reply.runner.str()};
}

Json EncodeFields(const ClaimDone& done) {
  return {done.id.ToString(), done.number, static_cast<int>(done.outcome)};
}

Json EncodeFields(const FetchAnswer& fetch) { return {fetch.id.ToString(), fetch.number}; }

Json EncodeFields(const Answer& answer) {
  Json headers = Json::array();
  for (const Header& it : answer.response.headers) {
    headers.push_back(Json::array({it.name, ToBinary(it.value)}));
  }
  const std::string body = answer.response.body ? *answer.response.body : std::string();
  return {answer.id.ToString(),
          answer.number,
          answer.found,
          static_cast<int>(answer.outcome),
          static_cast<int>(answer.reason),
          answer.response.status,
          std::move(headers),
          ToBinary(body)};
}

Json EncodeSlots(const std::vector<SlotSet>& slots) {
  Json list = Json::array();
  for (const SlotSet& it : slots) {
    list.push_back(Json::array({it.endpoint.str(), it.slots}));
  }
  return list;
}

Json EncodeFields(const LeaseGrant& grant) {
  return {grant.requested_at.time_since_epoch().count(), grant.lease.count(), grant.number,
          EncodeSlots(grant.slots)};
}

Json EncodeFields(const SlotReturn& message) {
  return {message.number, EncodeSlots(message.slots), message.endpoints_unusable, message.transfer,
          message.is_confirmation};
}

Json EncodeEndpoints(const std::vector<EndpointId>& endpoints) {
  Json list = Json::array();
  for (const EndpointId& it : endpoints) {
    list.push_back(it.str());
  }
  return list;
}

Json EncodeFields(const DemandReport& demand) {
  Json services = Json::array();
  for (const SlotDemand& it : demand.services) {
    services.push_back(Json::array({it.service.str(), it.slots}));
  }
  return {demand.requested_at.time_since_epoch().count(), std::move(services),
          EncodeEndpoints(demand.leaving)};
}

// Membership messages. The sender is encoded in the envelope.

Json EncodeGossip(const Gossip& gossip) {
  Json rumors = Json::array();
  for (const Rumor& it : gossip.rumors) {
    rumors.push_back(
        Json::array({it.member.str(), it.version, static_cast<int>(it.state), it.reporter.str()}));
  }
  return {gossip.status.log_offset, gossip.status.epoch, std::move(rumors),
          EncodeEndpoints(gossip.leaving_endpoints)};
}

Json EncodeFields(const Ping& ping) {
  return Json::array({ping.sequence, EncodeGossip(ping.gossip)});
}

Json EncodeFields(const PingReq& request) {
  return {request.sequence, request.target.str(), EncodeGossip(request.gossip)};
}

Json EncodeFields(const Ack& ack) {
  return {ack.sequence, ack.target.str(), EncodeGossip(ack.gossip)};
}

Json EncodeFields(const Confirm& confirm) { return Json::array({confirm.query}); }

Json EncodeFields(const ConfirmReply& reply) { return {reply.query, reply.epoch, reply.promised}; }

// Messages that bring lagging members up to date.

Json EncodeFields(const CatchUpRequest& request) {
  return Json::array({request.from, request.reply_address});
}

Json EncodeFields(const CatchUpReply& reply) {
  Json records = Json::array();
  for (const CatchUpRecord& it : reply.records) {
    records.push_back(
        Json::array({it.offset, it.time.time_since_epoch().count(), ToBinary(it.data)}));
  }
  return {std::move(records), reply.snapshot ? ToBinary(*reply.snapshot) : Json(), reply.next,
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
    MessageType operator()(const CatchUpRequest& /*message*/) const {
      return MessageType::kCatchUpRequest;
    }
    MessageType operator()(const CatchUpReply& /*message*/) const {
      return MessageType::kCatchUpReply;
    }
  };
  return std::visit(Visitor{}, payload);
}

Json EncodePayload(const PeerPayload& payload) {
  struct Visitor {
    Json operator()(const RouterMessage& message) const {
      return std::visit([](const auto& it) { return EncodeFields(it); }, message);
    }
    Json operator()(const MembershipMessage& message) const {
      return std::visit([](const auto& it) { return EncodeFields(it); }, message);
    }
    Json operator()(const CatchUpRequest& message) const { return EncodeFields(message); }
    Json operator()(const CatchUpReply& message) const { return EncodeFields(message); }
  };
  return std::visit(Visitor{}, payload);
}

// Decoding.

std::vector<SlotSet> DecodeSlots(const Json& json) {
  std::vector<SlotSet> slots;
  for (const Json& it : json) {
    slots.push_back({DecodeId<EndpointTag>(Element(it, 0)), Element(it, 1).get<std::uint64_t>()});
  }
  return slots;
}

std::vector<EndpointId> DecodeEndpoints(const Json& json) {
  std::vector<EndpointId> endpoints;
  for (const Json& it : json) {
    endpoints.push_back(DecodeId<EndpointTag>(it));
  }
  return endpoints;
}

Time DecodeTime(const Json& json) { return Time(Duration(json.get<Duration::rep>())); }

Answer DecodeAnswer(const Json& fields) {
  Answer answer{DecodeRequestId(Element(fields, 0)),
                Element(fields, 1).get<FetchNumber>(),
                false,
                Outcome::kUnknown,
                Reason::kNone,
                Response{}};
  answer.found = Element(fields, 2).get<bool>();
  answer.outcome = DecodeEnum(Element(fields, 3), Outcome::kUnknown);
  answer.reason = DecodeEnum(Element(fields, 4), Reason::kCallerGone);
  answer.response.status = Element(fields, 5).get<int>();
  for (const Json& it : Element(fields, 6)) {
    answer.response.headers.push_back(
        {Element(it, 0).get<std::string>(), BinaryToString(Element(it, 1))});
  }
  answer.response.body = std::make_shared<const std::string>(BinaryToString(Element(fields, 7)));
  return answer;
}

DemandReport DecodeDemandReport(const Json& fields) {
  DemandReport demand;
  demand.requested_at = DecodeTime(Element(fields, 0));
  for (const Json& it : Element(fields, 1)) {
    demand.services.push_back(
        {DecodeId<ServiceTag>(Element(it, 0)), Element(it, 1).get<std::uint32_t>()});
  }
  demand.leaving = DecodeEndpoints(Element(fields, 2));
  return demand;
}

Gossip DecodeGossip(const Json& json) {
  Gossip gossip;
  gossip.status.log_offset = Element(json, 0).get<std::uint64_t>();
  gossip.status.epoch = Element(json, 1).get<std::uint64_t>();
  for (const Json& it : Element(json, 2)) {
    gossip.rumors.push_back(
        {DecodeId<MemberTag>(Element(it, 0)), Element(it, 1).get<std::uint64_t>(),
         DecodeEnum(Element(it, 2), Liveness::kSuspect), DecodeId<MemberTag>(Element(it, 3))});
  }
  gossip.leaving_endpoints = DecodeEndpoints(Element(json, 3));
  return gossip;
}

CatchUpReply DecodeCatchUpReply(const Json& fields) {
  CatchUpReply reply;
  for (const Json& it : Element(fields, 0)) {
    const WallTime time{WallTime::duration(Element(it, 1).get<WallTime::rep>())};
    reply.records.push_back({Element(it, 0).get<Offset>(), time, BinaryToString(Element(it, 2))});
  }
  if (!Element(fields, 1).is_null()) {
    reply.snapshot = BinaryToString(Element(fields, 1));
  }
  reply.next = Element(fields, 2).get<Offset>();
  reply.chain = Element(fields, 3).get<std::string>();
  return reply;
}

PeerPayload DecodePayload(MessageType type, const MemberId& from, const Json& fields) {
  switch (type) {
    case MessageType::kClaim:
      return RouterMessage(
          Claim{DecodeRequestId(Element(fields, 0)), Element(fields, 1).get<ClaimNumber>()});
    case MessageType::kClaimReply:
      return RouterMessage(ClaimReply{DecodeRequestId(Element(fields, 0)),
                                      Element(fields, 1).get<ClaimNumber>(),
                                      DecodeEnum(Element(fields, 2), ClaimVerdict::kNoAuthority),
                                      DecodeEnum(Element(fields, 3), Reason::kCallerGone),
                                      DecodeId<MemberTag>(Element(fields, 4))});
    case MessageType::kClaimDone:
      return RouterMessage(ClaimDone{DecodeRequestId(Element(fields, 0)),
                                     Element(fields, 1).get<ClaimNumber>(),
                                     DecodeEnum(Element(fields, 2), Outcome::kUnknown)});
    case MessageType::kFetchAnswer:
      return RouterMessage(
          FetchAnswer{DecodeRequestId(Element(fields, 0)), Element(fields, 1).get<FetchNumber>()});
    case MessageType::kAnswer:
      return RouterMessage(DecodeAnswer(fields));
    case MessageType::kLeaseGrant:
      return RouterMessage(LeaseGrant{
          DecodeTime(Element(fields, 0)), Duration(Element(fields, 1).get<Duration::rep>()),
          Element(fields, 2).get<LeaseNumber>(), DecodeSlots(Element(fields, 3))});
    case MessageType::kSlotReturn:
      return RouterMessage(
          SlotReturn{Element(fields, 0).get<LeaseNumber>(), DecodeSlots(Element(fields, 1)),
                     Element(fields, 2).get<bool>(), Element(fields, 3).get<TransferNumber>(),
                     Element(fields, 4).get<bool>()});
    case MessageType::kDemandReport:
      return RouterMessage(DecodeDemandReport(fields));
    case MessageType::kPing:
      return MembershipMessage(
          Ping{from, Element(fields, 0).get<std::uint64_t>(), DecodeGossip(Element(fields, 1))});
    case MessageType::kPingReq:
      return MembershipMessage(PingReq{from, Element(fields, 0).get<std::uint64_t>(),
                                       DecodeId<MemberTag>(Element(fields, 1)),
                                       DecodeGossip(Element(fields, 2))});
    case MessageType::kAck:
      return MembershipMessage(Ack{from, Element(fields, 0).get<std::uint64_t>(),
                                   DecodeId<MemberTag>(Element(fields, 1)),
                                   DecodeGossip(Element(fields, 2))});
    case MessageType::kConfirm:
      return MembershipMessage(Confirm{from, Element(fields, 0).get<std::uint64_t>()});
    case MessageType::kConfirmReply:
      return MembershipMessage(ConfirmReply{from, Element(fields, 0).get<std::uint64_t>(),
                                            Element(fields, 1).get<Epoch>(),
                                            Element(fields, 2).get<bool>()});
    case MessageType::kCatchUpRequest:
      return CatchUpRequest{Element(fields, 0).get<Offset>(),
                            Element(fields, 1).get<std::string>()};
    case MessageType::kCatchUpReply:
      return DecodeCatchUpReply(fields);
  }
  throw DecodeError("peer message: unknown type");
}

}  // namespace

std::string EncodePeerEnvelope(const PeerEnvelope& envelope) {
  const Json json =
      Json::array({envelope.from.str(), envelope.to.str(),
                   static_cast<int>(TypeOf(envelope.payload)), EncodePayload(envelope.payload)});
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

PeerEnvelope DecodePeerEnvelope(std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    throw DecodeError("peer message: too large");
  }
  try {
    const Json json = DecodeCbor(bytes, kMaxCborDepth);
    if (!json.is_array() || json.size() != kEnvelopeFields) {
      throw DecodeError("peer message: envelope is not an array of 4 elements");
    }
    const auto from = DecodeId<MemberTag>(json[0]);
    const auto type = DecodeEnum(json[2], MessageType::kCatchUpReply);
    return {from, DecodeId<MemberTag>(json[1]), DecodePayload(type, from, json[3])};
  } catch (const Json::exception& error) {
    throw DecodeError(std::string("peer message: ") + error.what());
  }
}

}  // namespace cactusshelf
