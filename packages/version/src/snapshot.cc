#include "cactusshelf/version/snapshot.h"

#include <algorithm>
#include <utility>

#include "codec.h"
#include "evidence_codec.h"

namespace cactusshelf {
namespace {

constexpr int kSnapshotFormat = 1;
constexpr std::size_t kChainDigits = 64;

Json ToJson(std::optional<WallTime> time) {
  return time ? Json(ToMilliseconds(*time)) : Json(nullptr);
}

std::optional<WallTime> OptionalTimeField(const Json& object, const char* key) {
  if (Field(object, key).is_null()) {
    return std::nullopt;
  }
  return TimeField(object, key);
}

std::string ChainField(const Json& object, const char* key) {
  std::string chain = TextField(object, key);
  if (chain.size() != kChainDigits) {
    ThrowInvalidField(key);
  }
  return chain;
}

Json ToJson(const Evidence& evidence) {
  return {{"kind", ToString(evidence.kind)},
          {"offset", evidence.offset},
          {"time", ToMilliseconds(evidence.time)},
          {"bytes", ToBinary(evidence.bytes)},
          {"chain", evidence.chain}};
}

Evidence DecodeEvidence(const Json& json) {
  return {ParseEvidenceKind(TextField(json, "kind")), UnsignedField(json, "offset"),
          TimeField(json, "time"), BytesField(json, "bytes"), TextField(json, "chain")};
}

// Decodes the record of the evidence. Throws DecodeError if the record has another type.
template <typename Record>
Record RecordOf(const Evidence& evidence) {
  LogRecord record = DecodeRecord(evidence.bytes);
  if (!std::holds_alternative<Record>(record)) {
    throw DecodeError("a record of evidence in the snapshot has another type than stated");
  }
  return std::get<Record>(std::move(record));
}

Json ToJson(const FileSet& files) {
  Json json = Json::object();
  for (const auto& [name, file] : files.files()) {
    json[name] = file->text();
  }
  return json;
}

std::shared_ptr<const Configuration> DecodeFiles(const Json& json) {
  std::map<std::string, std::string> texts;
  for (const auto& [name, text] : json.items()) {
    if (!text.is_string()) {
      ThrowInvalidField("files");
    }
    texts.emplace(name, text.get<std::string>());
  }
  Findings findings;
  auto configuration = Configuration::Make(FileSet(texts), findings);
  if (configuration == nullptr) {
    throw DecodeError("the files of a snapshot have findings: " + findings.Format());
  }
  return configuration;
}

JobStatus DecodeJobStatus(std::uint64_t value) {
  if (value > static_cast<std::uint64_t>(JobStatus::kRejected)) {
    ThrowInvalidField("status");
  }
  return static_cast<JobStatus>(value);
}

// Uses arrays instead of objects, because with 26,000 jobs the keys would take most of the time and
// space.
Json ToJson(const std::map<JobId, JobState>& jobs) {
  Json json = Json::array();
  for (const auto& [id, state] : jobs) {
    json.push_back(Json::array({id.str(), static_cast<std::uint64_t>(state.status),
                                state.cell.str(), state.customer.str(), state.detail}));
  }
  return json;
}

std::map<JobId, JobState> DecodeJobs(const Json& json) {
  constexpr std::size_t kFields = 5;
  const auto text = [](const Json& value) -> const std::string& {
    if (!value.is_string()) {
      ThrowInvalidField("jobs");
    }
    return value.get_ref<const std::string&>();
  };
  std::map<JobId, JobState> jobs;
  for (const Json& it : json) {
    if (!it.is_array() || it.size() != kFields || !it[1].is_number_unsigned()) {
      ThrowInvalidField("jobs");
    }
    jobs.emplace_hint(jobs.end(), JobId(text(it[0])),
                      JobState{DecodeJobStatus(it[1].get<std::uint64_t>()), CellId(text(it[2])),
                               CustomerId(text(it[3])), text(it[4])});
  }
  return jobs;
}

Json ToJson(const RetirementLedger& ledger) {
  Json json = Json::array();
  for (const auto& [customer, tracker] : ledger.trackers()) {
    Json evidence = Json::array();
    for (const Evidence& it : tracker.evidence()) {
      evidence.push_back(ToJson(it));
    }
    json.push_back(std::move(evidence));
  }
  return json;
}

RetirementLedger DecodeRetirements(const Json& json) {
  RetirementLedger ledger;
  for (const Json& items : json) {
    if (!items.is_array()) {
      ThrowInvalidField("retirements");
    }
    std::vector<Evidence> evidence;
    for (const Json& it : items) {
      evidence.push_back(DecodeEvidence(it));
    }
    ledger.Add(RetirementTracker::FromEvidence(evidence));
  }
  return ledger;
}

}  // namespace

std::string Snapshot::Encode(const LogState& state) {
  Json publications = Json::array();
  for (const std::string& it : state.publication_ids_) {
    const LogState::Publication& publication = state.publications_.at(it);
    publications.push_back(
        {{"id", it}, {"digest", publication.digest}, {"revision", publication.revision}});
  }
  Json joins = Json::array();
  for (const auto& [id, join] : state.joins_) {
    joins.push_back(ToJson(join));
  }
  Json removed_member = Json::array();
  for (const LogState::RemovedMember& it : state.removed_members_) {
    removed_member.push_back({{"join", ToJson(it.join)}, {"remove", ToJson(it.remove)}});
  }
  Json hosts = Json::array();
  for (const std::string& it : state.hosts_) {
    hosts.push_back({{"host", it}, {"incarnation", state.incarnations_.at(it)}});
  }
  return EncodeCbor({{"format", kSnapshotFormat},
                     {"offset", state.offset_},
                     {"chain", state.chain_},
                     {"files", ToJson(state.configuration_->files())},
                     {"revision", state.revision_ ? Json(*state.revision_) : Json(nullptr)},
                     {"revision_time", ToJson(state.revision_time_)},
                     {"last_time", ToJson(state.last_time_)},
                     {"publications", std::move(publications)},
                     {"joins", std::move(joins)},
                     {"departed", std::move(removed_member)},
                     {"hosts", std::move(hosts)},
                     {"epoch", state.membership_epoch_},
                     {"jobs", ToJson(state.jobs_)},
                     {"retirements", ToJson(state.retirements_)}});
}

void Snapshot::DecodeMembers(const Json& json, LogState& state) {
  for (const Json& it : ArrayField(json, "joins")) {
    Evidence evidence = DecodeEvidence(it);
    const Join join = RecordOf<Join>(evidence);
    state.members_.emplace(
        join.member, RegisteredMember{join.member, join.incarnation, join.domain, join.peer_address,
                                      join.http_address, evidence.offset, evidence.time});
    state.joins_.emplace(join.member, std::move(evidence));
  }
  for (const Json& it : ArrayField(json, "departed")) {
    LogState::RemovedMember removed_member{DecodeEvidence(Field(it, "join")),
                                           DecodeEvidence(Field(it, "remove"))};
    if (RecordOf<Join>(removed_member.join).member !=
        RecordOf<Remove>(removed_member.remove).member) {
      ThrowInvalidField("departed");
    }
    state.removed_members_.push_back(std::move(removed_member));
  }
  for (const Json& it : ArrayField(json, "hosts")) {
    const std::string host = TextField(it, "host");
    if (state.incarnations_.emplace(host, UnsignedField(it, "incarnation")).second) {
      state.hosts_.push_back(host);
    }
  }
}

LogState Snapshot::Decode(std::string_view bytes) {
  const Json json = DecodeRecordCbor(bytes, kMaxRecordDepth);
  if (UnsignedField(json, "format") != kSnapshotFormat) {
    throw RecordError(RecordFault::kUnknownFormat, "unknown snapshot format");
  }
  LogState state;
  state.offset_ = UnsignedField(json, "offset");
  state.chain_ = ChainField(json, "chain");
  state.configuration_ = DecodeFiles(ObjectField(json, "files"));
  state.revision_ = OptionalUnsignedField(json, "revision");
  state.revision_time_ = OptionalTimeField(json, "revision_time");
  state.last_time_ = OptionalTimeField(json, "last_time");
  state.membership_epoch_ = UnsignedField(json, "epoch");
  for (const Json& it : ArrayField(json, "publications")) {
    state.RetainPublication(TextField(it, "id"),
                            {TextField(it, "digest"), UnsignedField(it, "revision")});
  }
  DecodeMembers(json, state);
  state.jobs_ = DecodeJobs(ArrayField(json, "jobs"));
  state.retirements_ = DecodeRetirements(ArrayField(json, "retirements"));
  state.chains_.clear();
  state.chains_.emplace_back(state.offset_, state.chain_);
  state.last_snapshot_offset_ = state.offset_;
  state.last_snapshot_time_ = state.last_time_;
  return state;
}

SnapshotRecord Snapshot::Record(const LogState& state, const MemberId& writer) {
  return {writer, state.offset(), state.chain(), Encode(state)};
}

LogState Snapshot::Load(const SnapshotRecord& record) {
  LogState state = Decode(record.state);
  if (state.offset() != record.offset || state.chain() != record.chain) {
    throw DecodeError("offset or chain of a snapshot record differs from that of its state");
  }
  return state;
}

bool Snapshot::IsDue(const LogState& state, Duration retention, WallTime now) {
  if (!state.last_snapshot_time()) {
    return false;
  }
  return state.offset() - state.last_snapshot_offset() >= kDueRecords ||
         now - *state.last_snapshot_time() >= retention / kDueRetentionFraction;
}

}  // namespace cactusshelf
