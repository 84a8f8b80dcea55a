#include "peer_codec.h"

#include <catch2/catch.hpp>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/base/random.h"

namespace cactusshelf {
namespace {

RequestId MakeId() {
  Random random(1);
  return RequestId::Make(WallTime(std::chrono::milliseconds(1'700'000'000'000)), random);
}

Gossip MakeGossip() {
  Gossip gossip;
  gossip.status.log_offset = 9;
  gossip.status.epoch = 4;
  gossip.rumors = {{MemberId("a/1"), 3, Liveness::kSuspect, MemberId("b/2")}};
  gossip.leaving_endpoints = {EndpointId("notices/10.0.0.1:80")};
  return gossip;
}

std::vector<PeerPayload> AllPayloads() {
  const RequestId id = MakeId();
  const Body body = std::make_shared<const std::string>(std::string("\0\xff binary", 9));
  const std::vector<SlotSet> slots = {{EndpointId("notices/10.0.0.1:80"), 0x81}};
  return {
      RouterMessage(Claim{id, 7}),
      RouterMessage(ClaimReply{id, 7, ClaimVerdict::kRunning, Reason::kNone, MemberId("c/3")}),
      RouterMessage(ClaimDone{id, 7, Outcome::kAnswered}),
      RouterMessage(FetchAnswer{id, 8}),
      RouterMessage(Answer{id,
                           8,
                           true,
                           Outcome::kAnswered,
                           Reason::kNone,
                           {200, {{"Content-Type", "text/plain"}}, body}}),
      RouterMessage(LeaseGrant{Time(Duration(5)), Duration(2'000'000), 3, slots}),
      RouterMessage(SlotReturn{3, slots, true, 0, false}),
      RouterMessage(SlotReturn{0, slots, false, 9, false}),
      RouterMessage(DemandReport{Time(Duration(5)), {{ServiceId("notices"), 4}}, {}}),
      MembershipMessage(Ping{MemberId("a/1"), 11, MakeGossip()}),
      MembershipMessage(PingReq{MemberId("a/1"), 12, MemberId("b/2"), MakeGossip()}),
      MembershipMessage(Ack{MemberId("a/1"), 12, MemberId("b/2"), MakeGossip()}),
      MembershipMessage(Confirm{MemberId("a/1"), 13}),
      MembershipMessage(ConfirmReply{MemberId("a/1"), 13, 4, true}),
      CatchUpRequest{5, "10.0.0.9:1"},
      CatchUpReply{{{5, WallTime(std::chrono::milliseconds(6)), "data"}}, std::nullopt, 6, "abc"},
  };
}

TEST_CASE("every peer message is unchanged by encoding and decoding") {
  for (const PeerPayload& it : AllPayloads()) {
    const std::string bytes = EncodePeerEnvelope({MemberId("a/1"), MemberId("b/2"), it});
    const PeerEnvelope decoded = DecodePeerEnvelope(bytes);
    CHECK(decoded.payload.index() == it.index());
    CHECK(EncodePeerEnvelope(decoded) == bytes);
  }
}

TEST_CASE("corrupted messages are refused and do not crash the process") {
  constexpr int kRounds = 20'000;
  Random random(2);
  const auto payloads = AllPayloads();
  int refused = 0;
  for (int n = 0; n < kRounds; ++n) {
    const PeerPayload& payload = payloads[random.Below(payloads.size())];
    std::string bytes = EncodePeerEnvelope({MemberId("a/1"), MemberId("b/2"), payload});
    const std::uint64_t flips = 1 + random.Below(3);
    for (std::uint64_t i = 0; i < flips; ++i) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    bytes.resize(random.Chance(0.2) ? random.Below(bytes.size()) : bytes.size());
    try {
      DecodePeerEnvelope(bytes);
    } catch (const DecodeError&) {
      ++refused;
    }
  }
  CHECK(refused > kRounds / 4);
}

TEST_CASE("deeply nested CBOR does not exhaust the stack") {
  const std::string nested(1'000'000, '\x81');
  CHECK_THROWS_AS(DecodePeerEnvelope(nested), DecodeError);
}

TEST_CASE("a claim takes at most 60 bytes, as the capacity page assumes, plus member names") {
  const PeerEnvelope envelope{MemberId("entry1/1"), MemberId("entry2/2"),
                              RouterMessage(Claim{MakeId(), 1})};
  CHECK(EncodePeerEnvelope(envelope).size() <= 80);
}

}  // namespace
}  // namespace cactusshelf
