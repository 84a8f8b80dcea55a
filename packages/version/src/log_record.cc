#include "cactusshelf/version/log_record.h"

#include <fmt/format.h>

#include <utility>

#include "cactusshelf/base/sha256.h"
#include "codec.h"

namespace cactusshelf {
namespace {

constexpr std::size_t kMaxJobUpdates = 10'000;
constexpr std::size_t kMaxFiles = 10'000;

Json ToJson(const Publish& publish) {
  Json changes = Json::object();
  for (const auto& [name, text] : publish.changes) {
    changes[name] = text ? Json(*text) : Json(nullptr);
  }
  return {{"id", publish.publication_id},
          {"base", publish.base ? Json(*publish.base) : Json(nullptr)},
          {"changes", std::move(changes)}};
}

Json ToJson(const Join& join) {
  return {{"member", join.member.str()},       {"incarnation", join.incarnation},
          {"domain", join.domain.str()},       {"peer_address", join.peer_address},
          {"http_address", join.http_address}, {"applied", join.applied_offset}};
}

Json ToJson(const Remove& remove) {
  return {{"member", remove.member.str()},
          {"by", remove.writer.str()},
          {"reason", remove.reason == RemoveReason::kFailed ? "failed" : "not_listed"},
          {"confirmed_by", remove.confirmed_by.str()}};
}

Json ToJson(const Leave& leave) { return {{"member", leave.member.str()}}; }

std::string_view ToString(JobEvent event) {
  switch (event) {
    case JobEvent::kAssigned:
      return "assigned";
    case JobEvent::kFinished:
      return "finished";
    case JobEvent::kRejected:
      return "rejected";
  }
  return "unknown";
}

Json ToJson(const Jobs& jobs) {
  Json updates = Json::array();
  for (const JobUpdate& it : jobs.updates) {
    updates.push_back({{"job", it.job.str()},
                       {"event", ToString(it.event)},
                       {"cell", it.cell.str()},
                       {"detail", it.detail}});
  }
  return {{"by", jobs.writer.str()}, {"updates", std::move(updates)}};
}

Json ToJson(const Attest& attest) {
  Json cell;
  if (attest.cell) {
    cell = {{"cell", attest.cell->cell.str()},
            {"epoch", attest.cell->epoch},
            {"tasks", attest.cell->tasks},
            {"all_workers_visited", attest.cell->all_workers_visited}};
  }
  return {{"customer", attest.customer.str()},
          {"member", attest.member.str()},
          {"applied", attest.applied_offset},
          {"in_flight", attest.in_flight},
          {"cell", std::move(cell)}};
}

Json ToJson(const SnapshotRecord& snapshot) {
  return {{"by", snapshot.writer.str()},
          {"offset", snapshot.offset},
          {"chain", snapshot.chain},
          {"state", ToBinary(snapshot.state)}};
}

Publish DecodePublish(const Json& json) {
  Publish publish;
  publish.publication_id = TextField(json, "id");
  publish.base = OptionalUnsignedField(json, "base");
  const Json& changes = ObjectField(json, "changes");
  if (publish.publication_id.empty() || changes.empty() || changes.size() > kMaxFiles) {
    ThrowInvalidField("changes");
  }
  for (const auto& [name, text] : changes.items()) {
    if (text.is_null()) {
      publish.changes.emplace(name, std::nullopt);
    } else if (text.is_string()) {
      publish.changes.emplace(name, text.get<std::string>());
    } else {
      ThrowInvalidField("changes");
    }
  }
  return publish;
}

Join DecodeJoin(const Json& json) {
  Join join;
  join.member = IdField<MemberId>(json, "member");
  join.incarnation = UnsignedField(json, "incarnation");
  join.domain = IdField<DomainId>(json, "domain");
  join.peer_address = TextField(json, "peer_address");
  join.http_address = TextField(json, "http_address");
  join.applied_offset = UnsignedField(json, "applied");
  return join;
}

Remove DecodeRemove(const Json& json) {
  Remove remove;
  remove.member = IdField<MemberId>(json, "member");
  remove.writer = IdField<MemberId>(json, "by");
  const std::string reason = TextField(json, "reason");
  if (reason != "failed" && reason != "not_listed") {
    ThrowInvalidField("reason");
  }
  remove.reason = reason == "failed" ? RemoveReason::kFailed : RemoveReason::kNotListed;
  remove.confirmed_by = MemberId(TextField(json, "confirmed_by"));
  return remove;
}

Leave DecodeLeave(const Json& json) { return {IdField<MemberId>(json, "member")}; }

JobEvent DecodeJobEvent(const std::string& text) {
  for (const JobEvent it : {JobEvent::kAssigned, JobEvent::kFinished, JobEvent::kRejected}) {
    if (text == ToString(it)) {
      return it;
    }
  }
  ThrowInvalidField("event");
}

Jobs DecodeJobs(const Json& json) {
  Jobs jobs;
  jobs.writer = IdField<MemberId>(json, "by");
  const Json& updates = ArrayField(json, "updates");
  if (updates.empty() || updates.size() > kMaxJobUpdates) {
    ThrowInvalidField("updates");
  }
  for (const Json& it : updates) {
    jobs.updates.push_back({IdField<JobId>(it, "job"), DecodeJobEvent(TextField(it, "event")),
                            CellId(TextField(it, "cell")), TextField(it, "detail")});
  }
  return jobs;
}

Attest DecodeAttest(const Json& json) {
  Attest attest;
  attest.customer = IdField<CustomerId>(json, "customer");
  attest.member = IdField<MemberId>(json, "member");
  attest.applied_offset = UnsignedField(json, "applied");
  attest.in_flight = UnsignedField(json, "in_flight");
  const Json& cell = Field(json, "cell");
  if (!cell.is_null()) {
    attest.cell =
        Attest::Cell{IdField<CellId>(cell, "cell"), UnsignedField(cell, "epoch"),
                     UnsignedField(cell, "tasks"), BooleanField(cell, "all_workers_visited")};
  }
  return attest;
}

SnapshotRecord DecodeSnapshot(const Json& json) {
  return {IdField<MemberId>(json, "by"), UnsignedField(json, "offset"), TextField(json, "chain"),
          BytesField(json, "state")};
}

LogRecord DecodePayload(const std::string& type, const Json& json) {
  if (type == "publish") {
    return DecodePublish(json);
  }
  if (type == "join") {
    return DecodeJoin(json);
  }
  if (type == "remove") {
    return DecodeRemove(json);
  }
  if (type == "leave") {
    return DecodeLeave(json);
  }
  if (type == "jobs") {
    return DecodeJobs(json);
  }
  if (type == "attest") {
    return DecodeAttest(json);
  }
  if (type == "snapshot") {
    return DecodeSnapshot(json);
  }
  throw RecordError(RecordFault::kUnknownFormat, fmt::format("unknown record type '{}'", type));
}

}  // namespace

std::string_view ToString(RecordFault fault) {
  switch (fault) {
    case RecordFault::kTooLarge:
      return "too_large";
    case RecordFault::kTooDeep:
      return "too_deep";
    case RecordFault::kMalformed:
      return "malformed";
    case RecordFault::kUnknownFormat:
      return "unknown_format";
    case RecordFault::kDigest:
      return "digest";
    case RecordFault::kInvalidField:
      return "invalid_field";
  }
  return "unknown";
}

std::string_view TypeName(const LogRecord& record) {
  // In the order of the alternatives of LogRecord.
  static constexpr std::string_view kNames[] = {"publish", "join",   "remove",  "leave",
                                                "jobs",    "attest", "snapshot"};
  static_assert(std::size(kNames) == std::variant_size_v<LogRecord>);
  return kNames[record.index()];
}

std::string EncodeRecord(const LogRecord& record) {
  const std::string payload =
      EncodeCbor(std::visit([](const auto& it) { return ToJson(it); }, record));
  std::string bytes = EncodeCbor({{"format", kLogRecordFormat},
                                  {"type", TypeName(record)},
                                  {"sha256", Sha256Hex(payload)},
                                  {"payload", ToBinary(payload)}});
  if (bytes.size() > kMaxRecordBytes) {
    throw Error(fmt::format("record of {} bytes is larger than {}", bytes.size(), kMaxRecordBytes));
  }
  return bytes;
}

LogRecord DecodeRecord(std::string_view bytes) {
  if (bytes.size() > kMaxRecordBytes) {
    throw RecordError(RecordFault::kTooLarge, fmt::format("record of {} bytes is larger than {}",
                                                          bytes.size(), kMaxRecordBytes));
  }
  const Json envelope = DecodeRecordCbor(bytes, kMaxRecordDepth);
  if (UnsignedField(envelope, "format") != kLogRecordFormat) {
    throw RecordError(RecordFault::kUnknownFormat, "unknown record format");
  }
  const std::string payload = BytesField(envelope, "payload");
  if (Sha256Hex(payload) != TextField(envelope, "sha256")) {
    throw RecordError(RecordFault::kDigest, "the payload does not match its SHA-256 digest");
  }
  return DecodePayload(TextField(envelope, "type"), DecodeRecordCbor(payload, kMaxRecordDepth));
}

}  // namespace cactusshelf
