#include "cactusshelf/version/log_protocol.h"

#include <fmt/format.h>

#include <utility>

#include "base64.h"
#include "codec.h"

namespace cactusshelf {
namespace {

// {"first": n, "next": n, "records": [{...}]} nests three containers; allow one more for
// extensions.
constexpr int kMaxDepth = 4;

Json Parse(std::string_view body) {
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth, Json::parse_event_t /*event*/, Json& /*value*/) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  Json json = Json::parse(body.begin(), body.end(), limit_depth, /*allow_exceptions=*/false);
  if (json.is_discarded() || too_deep) {
    throw DecodeError("the answer of the log service is not valid JSON");
  }
  return json;
}

}  // namespace

std::string LogProtocol::AppendPath(std::string_view stream) {
  return fmt::format("/v1/streams/{}/records", stream);
}

std::string LogProtocol::ReadPath(std::string_view stream, Offset from,
                                  std::chrono::milliseconds wait) {
  return fmt::format("{}?from={}&wait_ms={}", AppendPath(stream), from, wait.count());
}

std::string LogProtocol::EncodeAppendReply(Offset offset) {
  return Json{{"offset", offset}}.dump();
}

Offset LogProtocol::DecodeAppendReply(std::string_view body) {
  return UnsignedField(Parse(body), "offset");
}

std::string LogProtocol::EncodeReadReply(const ReadReply& reply) {
  Json records = Json::array();
  for (const StoredRecord& it : reply.records) {
    records.push_back({{"offset", it.offset},
                       {"time_ms", ToMilliseconds(it.time)},
                       {"data", EncodeBase64(it.data)}});
  }
  return Json{{"first", reply.first}, {"next", reply.next}, {"records", std::move(records)}}.dump();
}

ReadReply LogProtocol::DecodeReadReply(std::string_view body) {
  const Json json = Parse(body);
  ReadReply reply;
  reply.first = UnsignedField(json, "first");
  reply.next = UnsignedField(json, "next");
  for (const Json& it : ArrayField(json, "records")) {
    const Json& data = Field(it, "data");
    if (!data.is_string()) {
      ThrowInvalidField("data");
    }
    reply.records.push_back({UnsignedField(it, "offset"), TimeField(it, "time_ms"),
                             DecodeBase64(data.get<std::string>())});
  }
  return reply;
}

}  // namespace cactusshelf
