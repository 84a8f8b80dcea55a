#include "cactusshelf/version/log_record.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cactusshelf/version/log_protocol.h"
#include "support.h"

namespace cactusshelf {
namespace {

std::vector<LogRecord> SampleRecords() {
  return {Publish{"p1", Revision(7), {{"a", "text"}, {"b", std::nullopt}}},
          Publish{"p2", std::nullopt, {{"a", "text"}}},
          Join{MemberId("h/1"), 1, DomainId("d"), "10.0.0.1:1", "10.0.0.1:2", 3},
          Remove{MemberId("h/1"), MemberId("i/1"), RemoveReason::kFailed, MemberId("j/1")},
          Remove{MemberId("h/1"), MemberId("i/1"), RemoveReason::kNotListed, MemberId()},
          Leave{MemberId("h/1")},
          Jobs{MemberId("h/1"), {{JobId("j"), JobEvent::kRejected, CellId("c"), "memory"}}},
          Attest{CustomerId("acme"), MemberId("h/1"), 9, 0, {}},
          Attest{CustomerId("acme"), MemberId("h/1"), 9, 0, Attest::Cell{CellId("c"), 4, 0, true}},
          SnapshotRecord{MemberId("h/1"), 5, "chain", std::string("\0\xff", 2)}};
}

TEST_CASE("every record type is unchanged by encoding and decoding") {
  for (const LogRecord& it : SampleRecords()) {
    CHECK(DecodeRecord(EncodeRecord(it)) == it);
  }
}

TEST_CASE("a record truncated at any byte is rejected") {
  for (const LogRecord& it : SampleRecords()) {
    const std::string bytes = EncodeRecord(it);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_THROWS_AS(DecodeRecord(std::string_view(bytes).substr(0, size)), RecordError);
    }
    CHECK_THROWS_AS(DecodeRecord(bytes + '\0'), RecordError);
  }
}

RecordFault FaultOf(const std::string& bytes) {
  try {
    DecodeRecord(bytes);
  } catch (const RecordError& error) {
    return error.fault();
  }
  FAIL("the record was accepted");
  return RecordFault::kMalformed;
}

TEST_CASE("a changed payload fails the digest check") {
  std::string bytes = EncodeRecord(Publish{"p1", std::nullopt, {{"a", "some text"}}});
  bytes.replace(bytes.find("some text"), 4, "SOME");
  CHECK(FaultOf(bytes) == RecordFault::kDigest);
}

TEST_CASE("deeply nested bytes are rejected without exhausting the stack") {
  CHECK(FaultOf(std::string(1'000'000, '\x81')) == RecordFault::kTooDeep);
}

TEST_CASE("a record above the size limit is neither decoded nor encoded") {
  CHECK(FaultOf(std::string(kMaxRecordBytes + 1, '\0')) == RecordFault::kTooLarge);
  CHECK_THROWS_AS(
      EncodeRecord(Publish{"p", std::nullopt, {{"a", std::string(kMaxRecordBytes, 'x')}}}), Error);
}

TEST_CASE("a reply of the log service is unchanged by encoding, and a damaged reply is an error") {
  const ReadReply reply{3, 5, {{3, WallTime(7ms), std::string("\0a", 2)}, {4, WallTime(8ms), ""}}};
  const std::string body = LogProtocol::EncodeReadReply(reply);
  CHECK(LogProtocol::DecodeReadReply(body) == reply);
  for (std::size_t size = 0; size < body.size(); ++size) {
    CHECK_THROWS_AS(LogProtocol::DecodeReadReply(body.substr(0, size)), DecodeError);
  }
  CHECK(LogProtocol::DecodeAppendReply(LogProtocol::EncodeAppendReply(12)) == 12);
  CHECK_THROWS_AS(LogProtocol::DecodeAppendReply(R"({"offset": -1})"), DecodeError);
  CHECK_THROWS_AS(LogProtocol::DecodeReadReply(
                      R"({"first":0,"next":1,"records":[{"offset":0,"time_ms":1,"data":"a*b="}]})"),
                  DecodeError);
}

}  // namespace
}  // namespace cactusshelf
