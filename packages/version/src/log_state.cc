#include "cactusshelf/version/log_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "cactusshelf/base/sha256.h"
#include "codec.h"

namespace cactusshelf {
namespace {

constexpr std::string_view kRecordsMetric = "cactusshelf_log_records_total";
constexpr std::string_view kRefusedMetric = "cactusshelf_log_refused_total";
constexpr std::string_view kRepeated = "repeated";

std::array<char, 8> BigEndian(std::uint64_t value) {
  std::array<char, 8> bytes{};
  for (auto it = bytes.rbegin(); it != bytes.rend(); ++it) {
    *it = static_cast<char>(value & 0xff);
    value >>= 8;
  }
  return bytes;
}

std::string DigestOf(const FileChanges& changes) {
  Sha256 sha;
  for (const auto& [name, text] : changes) {
    sha.Update(fmt::format("{}:{}:", name.size(), text ? std::to_string(text->size()) : "removed"));
    sha.Update(name);
    sha.Update(text.value_or(""));
  }
  return sha.HexDigest();
}

template <typename Record>
Evidence MakeEvidence(EvidenceKind kind, const Record& context) {
  return {kind, context.offset, context.time, std::string(context.bytes), {}};
}

}  // namespace

std::string_view ToString(PublishRejection rejection) {
  switch (rejection) {
    case PublishRejection::kConflict:
      return "conflict";
    case PublishRejection::kInvalid:
      return "invalid";
    case PublishRejection::kRetired:
      return "retired";
    case PublishRejection::kIdReused:
      return "id_reused";
  }
  return "unknown";
}

struct LogState::CheckedPublish {
  LogChange result;
  // Set if the publish is accepted.
  std::shared_ptr<const Configuration> next;
  std::string digest;
};

LogState::LogState() : chain_(64, '0'), configuration_(std::make_shared<const Configuration>()) {
  chains_.emplace_back(offset_, chain_);
}

LogChange LogState::Apply(Offset offset, WallTime time, std::string_view bytes) {
  if (offset < offset_) {
    return Refuse("old_offset");
  }
  if (offset > offset_) {
    throw LogGapError(fmt::format("log gap: got record {}, expected record {}", offset, offset_));
  }
  const RecordContext context{offset, time, bytes};
  PruneRemovedMembers(time);
  LogChange change;
  try {
    const LogRecord record = DecodeRecord(bytes);
    counters_.Add(kRecordsMetric, TypeName(record));
    change = std::visit([&](const auto& it) { return ApplyRecord(context, it); }, record);
  } catch (const RecordError& error) {
    change = Refuse(std::string(ToString(error.fault())), error.what());
  }
  retirements_.OnRecordTime(offset, time, bytes);
  Advance(context);
  return change;
}

LogChange LogState::Check(const Publish& publish) const {
  LogChange result = CheckPublish(publish).result;
  if (auto* accepted = std::get_if<PublishAccepted>(&result)) {
    accepted->revision = offset_;
  }
  return result;
}

std::optional<std::string> LogState::ChainAt(Offset offset) const {
  const auto it =
      std::ranges::lower_bound(chains_, offset, {}, [](const auto& pair) { return pair.first; });
  if (it == chains_.end() || it->first != offset) {
    return std::nullopt;
  }
  return it->second;
}

std::string LogState::ChainAfter(const RecordContext& context) const {
  const auto offset = BigEndian(context.offset);
  const auto time = BigEndian(static_cast<std::uint64_t>(ToMilliseconds(context.time)));
  return Sha256()
      .Update(chain_)
      .Update({offset.data(), offset.size()})
      .Update({time.data(), time.size()})
      .Update(context.bytes)
      .HexDigest();
}

void LogState::Advance(const RecordContext& context) {
  chain_ = ChainAfter(context);
  offset_ = context.offset + 1;
  last_time_ = context.time;
  last_snapshot_time_ = last_snapshot_time_.value_or(context.time);
  chains_.emplace_back(offset_, chain_);
  if (chains_.size() > kMaxRetainedChains) {
    chains_.pop_front();
  }
}

RecordRefused LogState::Refuse(std::string reason, std::string detail) {
  counters_.Add(kRefusedMetric, reason);
  return {std::move(reason), std::move(detail)};
}

// Publish

LogChange LogState::ApplyRecord(const RecordContext& context, const Publish& publish) {
  CheckedPublish checked = CheckPublish(publish);
  if (const auto* rejected = std::get_if<PublishRejected>(&checked.result)) {
    counters_.Add(kRefusedMetric, fmt::format("publish_{}", ToString(rejected->reason)));
  }
  auto* accepted = std::get_if<PublishAccepted>(&checked.result);
  if (accepted == nullptr) {
    return std::move(checked.result);
  }
  accepted->revision = context.offset;
  const std::shared_ptr<const Configuration> before = configuration_;
  configuration_ = std::move(checked.next);
  revision_ = context.offset;
  revision_time_ = context.time;
  RetainPublication(publish.publication_id, {std::move(checked.digest), context.offset});
  CancelJobs(accepted->changed, accepted->retired);
  retirements_.OnWorkersChanged(CellsWithNewWorkers(*before, accepted->changed), context.offset,
                                context.time);
  AddRetirements(context, accepted->retired);
  return std::move(checked.result);
}

LogState::CheckedPublish LogState::CheckPublish(const Publish& publish) const {
  CheckedPublish checked;
  checked.digest = DigestOf(publish.changes);
  PublishRejected rejected{
      publish.publication_id, PublishRejection::kInvalid, publish.base, revision_, {}, {}, {}};
  const auto earlier = publications_.find(publish.publication_id);
  if (earlier != publications_.end()) {
    if (earlier->second.digest == checked.digest) {
      checked.result = PublishRepeated{publish.publication_id, earlier->second.revision};
    } else {
      rejected.reason = PublishRejection::kIdReused;
      checked.result = std::move(rejected);
    }
    return checked;
  }
  if (publish.base != revision_) {
    checked.result = Conflict(publish);
    return checked;
  }
  const FileSet files = configuration_->files().WithChanges(publish.changes);
  auto next = configuration_->Update(files, rejected.findings);
  if (next == nullptr) {
    checked.result = std::move(rejected);
    return checked;
  }
  PublishAccepted accepted{publish.publication_id, 0, {}, {}};
  accepted.changed = Configuration::Difference(configuration_->files(), files);
  rejected.findings = CheckRetired(*next, accepted.changed);
  if (!rejected.findings.empty()) {
    rejected.reason = PublishRejection::kRetired;
  }
  rejected.findings.Append(CheckJobs(*next, accepted.changed));
  if (!rejected.findings.empty()) {
    checked.result = std::move(rejected);
    return checked;
  }
  for (const EntryKey& it : accepted.changed) {
    if (it.kind == EntryKind::kRetirement) {
      accepted.retired.emplace_back(it.name);
    }
  }
  checked.result = std::move(accepted);
  checked.next = std::move(next);
  return checked;
}

PublishRejected LogState::Conflict(const Publish& publish) const {
  PublishRejected rejected{
      publish.publication_id, PublishRejection::kConflict, publish.base, revision_, {}, {}, {}};
  const FileSet& in_force = configuration_->files();
  const FileSet proposed = in_force.WithChanges(publish.changes);
  for (const auto& [name, text] : publish.changes) {
    if (in_force.Find(name) != proposed.Find(name)) {
      rejected.files.push_back(name);
    }
  }
  rejected.entries = Configuration::Difference(in_force, proposed);
  return rejected;
}

Findings LogState::CheckRetired(const Configuration& next,
                                const std::set<EntryKey>& changed) const {
  Findings findings;
  for (const EntryKey& it : changed) {
    const bool exists = !next.PlaceOf(it).file.empty();
    if (it.kind == EntryKind::kRetirement) {
      const CustomerId customer(it.name);
      if (!exists) {
        findings.Add(configuration_->PlaceOf(it), "a retirement cannot be removed");
      } else if (configuration_->Find(customer) == nullptr && next.Find(customer) == nullptr) {
        findings.Add(next.PlaceOf(it), fmt::format("customer {} is not defined", it.name));
      }
      continue;
    }
    // Also checks the previous customer, since otherwise a team could move to another customer
    // together with its jobs.
    for (const CustomerId& customer : {configuration_->CustomerOf(it), next.CustomerOf(it)}) {
      if (exists && next.IsRetired(customer)) {
        findings.Add(next.PlaceOf(it), fmt::format("{} belongs to customer {}, which is retired",
                                                   it.Format(), customer.str()));
        break;
      }
    }
  }
  return findings;
}

Findings LogState::CheckJobs(const Configuration& next, const std::set<EntryKey>& changed) const {
  Findings findings;
  for (const EntryKey& it : changed) {
    const JobId id(it.name);
    const Job* job = it.kind == EntryKind::kJob ? next.Find(id) : nullptr;
    if (job == nullptr) {
      continue;
    }
    const Job* before = configuration_->Find(id);
    if (before == nullptr && jobs_.contains(id)) {
      findings.Add(
          next.PlaceOf(it),
          fmt::format("{} was removed and its tasks are still being stopped", it.Format()));
    } else if (before != nullptr && before->cancelled && !job->cancelled) {
      findings.Add(next.PlaceOf(it), fmt::format("{} was cancelled", it.Format()));
    }
  }
  return findings;
}

void LogState::RetainPublication(const std::string& id, Publication publication) {
  publications_.emplace(id, std::move(publication));
  publication_ids_.push_back(id);
  if (publication_ids_.size() > kMaxRetainedPublications) {
    publications_.erase(publication_ids_.front());
    publication_ids_.pop_front();
  }
}

// Retirement

std::set<CellId> LogState::CellsWithNewWorkers(const Configuration& before,
                                               const std::set<EntryKey>& changed) const {
  std::set<CellId> cells;
  for (const EntryKey& it : changed) {
    if (it.kind != EntryKind::kWorker) {
      continue;
    }
    const Worker* old_worker = before.Find(WorkerId(it.name));
    const Worker* new_worker = configuration_->Find(WorkerId(it.name));
    if (new_worker != nullptr && (old_worker == nullptr || old_worker->cell != new_worker->cell ||
                                  old_worker->address != new_worker->address)) {
      cells.insert(new_worker->cell);
    }
  }
  return cells;
}

RetirementScope LogState::MakeScope(const RecordContext& context,
                                    const CustomerId& customer) const {
  RetirementScope scope{customer, context.offset, ChainAfter(context), membership_epoch_, {}, {}};
  for (const auto& [id, join] : joins_) {
    scope.members.insert(id);
  }
  for (const RemovedMember& it : removed_members_) {
    scope.members.insert(std::get<Join>(DecodeRecord(it.join.bytes)).member);
  }
  for (const auto& [cell, workers] : configuration_->cells()) {
    scope.cells.insert(cell);
  }
  // A cell whose workers were all moved to other cells may still be stopping tasks.
  for (const auto& [id, state] : jobs_) {
    if (state.status == JobStatus::kCancelled && CustomerOf(id, state) == customer) {
      scope.cells.insert(state.cell);
    }
  }
  return scope;
}

std::vector<Evidence> LogState::EvidenceBeforeRetirement() const {
  std::vector<Evidence> evidence;
  for (const auto& [id, join] : joins_) {
    evidence.push_back(join);
  }
  for (const RemovedMember& it : removed_members_) {
    evidence.push_back(it.join);
    evidence.push_back(it.remove);
  }
  std::ranges::sort(evidence, {}, &Evidence::offset);
  return evidence;
}

void LogState::AddRetirements(const RecordContext& context,
                              const std::vector<CustomerId>& retired) {
  for (const CustomerId& it : retired) {
    retirements_.Add(RetirementTracker(MakeScope(context, it), EvidenceBeforeRetirement(),
                                       MakeEvidence(EvidenceKind::kRetirement, context)));
  }
}

std::string LogState::CheckAttest(const RecordContext& context, const Attest& attest) const {
  if (!members_.contains(attest.member)) {
    return "not_a_member";
  }
  const RetirementTracker* tracker = retirements_.Find(attest.customer);
  if (tracker == nullptr || attest.applied_offset <= tracker->scope().retirement) {
    return "attest_not_retired";
  }
  if (attest.applied_offset > context.offset ||
      (attest.cell && attest.cell->epoch > membership_epoch_)) {
    return "applied_ahead";
  }
  if (attest.in_flight != 0 ||
      (attest.cell && (attest.cell->tasks != 0 || !attest.cell->all_workers_visited))) {
    return "attest_not_idle";
  }
  return {};
}

LogChange LogState::ApplyRecord(const RecordContext& context, const Attest& attest) {
  if (std::string reason = CheckAttest(context, attest); !reason.empty()) {
    return Refuse(std::move(reason), attest.member.str());
  }
  if (!retirements_.OnAttest(attest, MakeEvidence(EvidenceKind::kAttest, context))) {
    return Unchanged{};
  }
  return Attested{attest.customer, retirements_.Find(attest.customer)->complete()};
}

// Members

std::string LogState::CheckJoin(const RecordContext& context, const Join& join) const {
  if (members_.contains(join.member)) {
    return "member_exists";
  }
  const auto host = incarnations_.find(HostOf(join.member));
  if (host != incarnations_.end() && join.incarnation <= host->second) {
    return "old_incarnation";
  }
  if (join.applied_offset > context.offset) {
    return "applied_ahead";
  }
  if (retirements_.latest_offset() && join.applied_offset <= *retirements_.latest_offset()) {
    return "join_before_retirement";
  }
  return {};
}

LogChange LogState::ApplyRecord(const RecordContext& context, const Join& join) {
  const auto existing = members_.find(join.member);
  if (existing != members_.end() && existing->second.incarnation == join.incarnation) {
    return Unchanged{};
  }
  if (std::string reason = CheckJoin(context, join); !reason.empty()) {
    return Refuse(std::move(reason), join.member.str());
  }
  const RegisteredMember member{join.member,       join.incarnation, join.domain, join.peer_address,
                                join.http_address, context.offset,   context.time};
  members_.emplace(join.member, member);
  joins_.emplace(join.member, MakeEvidence(EvidenceKind::kJoin, context));
  RetainHost(join.member, join.incarnation);
  membership_epoch_ = context.offset;
  return MemberJoined{member};
}

std::string LogState::CheckRemove(const Remove& remove) const {
  if (!members_.contains(remove.member) || !members_.contains(remove.writer)) {
    return "not_a_member";
  }
  if (remove.writer == remove.member) {
    return "remove_by_itself";
  }
  if (remove.reason == RemoveReason::kFailed &&
      (!members_.contains(remove.confirmed_by) || remove.confirmed_by == remove.writer ||
       remove.confirmed_by == remove.member)) {
    return "remove_not_confirmed";
  }
  return {};
}

LogChange LogState::ApplyRecord(const RecordContext& context, const Remove& remove) {
  if (std::string reason = CheckRemove(remove); !reason.empty()) {
    return Refuse(std::move(reason), remove.member.str());
  }
  const Evidence evidence = MakeEvidence(EvidenceKind::kRemove, context);
  removed_members_.push_back({joins_.at(remove.member), evidence});
  retirements_.OnRemove(remove, evidence);
  return MemberDeparted{DropMember(remove.member, context.offset), remove};
}

LogChange LogState::ApplyRecord(const RecordContext& context, const Leave& leave) {
  if (!members_.contains(leave.member)) {
    return Refuse("not_a_member", leave.member.str());
  }
  retirements_.OnLeave(leave, MakeEvidence(EvidenceKind::kLeave, context));
  return MemberDeparted{DropMember(leave.member, context.offset), std::nullopt};
}

RegisteredMember LogState::DropMember(const MemberId& id, Offset offset) {
  RegisteredMember member = std::move(members_.at(id));
  members_.erase(id);
  joins_.erase(id);
  membership_epoch_ = offset;
  return member;
}

void LogState::RetainHost(const MemberId& member, std::uint64_t incarnation) {
  const std::string host = HostOf(member);
  if (incarnations_.insert_or_assign(host, incarnation).second) {
    hosts_.push_back(host);
  }
  if (hosts_.size() > kMaxRetainedHosts) {
    incarnations_.erase(hosts_.front());
    hosts_.pop_front();
  }
}

void LogState::PruneRemovedMembers(WallTime time) {
  std::erase_if(removed_members_,
                [time](const RemovedMember& it) { return it.remove.time + kRemovalLapse <= time; });
}

// Jobs

CustomerId LogState::CustomerOf(const JobId& job, const JobState& state) const {
  const CustomerId customer = configuration_->CustomerOf({EntryKind::kJob, job.str()});
  return customer.empty() ? state.customer : customer;
}

void LogState::CancelJobs(const std::set<EntryKey>& changed,
                          const std::vector<CustomerId>& retired) {
  for (const EntryKey& it : changed) {
    const auto state = it.kind == EntryKind::kJob ? jobs_.find(JobId(it.name)) : jobs_.end();
    if (state == jobs_.end()) {
      continue;
    }
    const Job* job = configuration_->Find(state->first);
    const bool unfinished = state->second.status == JobStatus::kAssigned ||
                            state->second.status == JobStatus::kCancelled;
    if (job == nullptr && !unfinished) {
      jobs_.erase(state);
    } else if (unfinished && (job == nullptr || job->cancelled)) {
      state->second.status = JobStatus::kCancelled;
    }
  }
  for (auto& [id, state] : jobs_) {
    if (!retired.empty() && state.status == JobStatus::kAssigned &&
        std::ranges::find(retired, CustomerOf(id, state)) != retired.end()) {
      state.status = JobStatus::kCancelled;
    }
  }
}

LogChange LogState::ApplyRecord(const RecordContext& /*context*/, const Jobs& jobs) {
  if (!members_.contains(jobs.writer)) {
    return Refuse("not_a_member", jobs.writer.str());
  }
  JobsChanged changed;
  std::optional<RecordRefused> refused;
  for (const JobUpdate& it : jobs.updates) {
    std::string reason = ApplyUpdate(it);
    if (reason.empty()) {
      changed.updates.push_back(it);
    } else if (reason != kRepeated) {
      refused = Refuse(std::move(reason), it.job.str());
    }
  }
  if (!changed.updates.empty()) {
    return changed;
  }
  return refused ? LogChange(*refused) : LogChange(Unchanged{});
}

std::string LogState::ApplyUpdate(const JobUpdate& update) {
  switch (update.event) {
    case JobEvent::kAssigned:
      return AssignJob(update);
    case JobEvent::kFinished:
      return FinishJob(update);
    case JobEvent::kRejected:
      return RejectJob(update);
  }
  return "unknown_event";
}

std::string LogState::AssignJob(const JobUpdate& update) {
  if (const auto it = jobs_.find(update.job); it != jobs_.end()) {
    return it->second.cell == update.cell ? std::string(kRepeated) : "job_already_assigned";
  }
  const Job* job = configuration_->Find(update.job);
  if (job == nullptr) {
    return "unknown_job";
  }
  const CustomerId customer = configuration_->CustomerOf({EntryKind::kJob, update.job.str()});
  if (job->cancelled || configuration_->IsRetired(customer)) {
    return "job_cancelled";
  }
  if (!configuration_->cells().contains(update.cell)) {
    return "unknown_cell";
  }
  jobs_.emplace(update.job, JobState{JobStatus::kAssigned, update.cell, customer, {}});
  return {};
}

std::string LogState::FinishJob(const JobUpdate& update) {
  const auto it = jobs_.find(update.job);
  if (it == jobs_.end()) {
    return "unknown_job";
  }
  JobState& state = it->second;
  if (state.status == JobStatus::kFinished) {
    return std::string(kRepeated);
  }
  if (state.status == JobStatus::kRejected) {
    return "job_rejected";
  }
  if (state.cell != update.cell) {
    return "wrong_cell";
  }
  state.status = JobStatus::kFinished;
  if (configuration_->Find(update.job) == nullptr) {
    jobs_.erase(it);
  }
  return {};
}

std::string LogState::RejectJob(const JobUpdate& update) {
  const Job* job = configuration_->Find(update.job);
  if (job == nullptr) {
    return "unknown_job";
  }
  const CustomerId customer = configuration_->CustomerOf({EntryKind::kJob, update.job.str()});
  const auto [it, is_new] = jobs_.try_emplace(
      update.job, JobState{JobStatus::kRejected, update.cell, customer, update.detail});
  if (is_new) {
    return {};
  }
  if (it->second.status == JobStatus::kRejected) {
    return std::string(kRepeated);
  }
  if (it->second.status != JobStatus::kAssigned || it->second.cell != update.cell) {
    return "job_not_assigned_here";
  }
  it->second.status = JobStatus::kRejected;
  it->second.detail = update.detail;
  return {};
}

// Snapshots

LogChange LogState::ApplyRecord(const RecordContext& context, const SnapshotRecord& snapshot) {
  if (snapshot.offset > context.offset) {
    return Refuse("snapshot_ahead", snapshot.writer.str());
  }
  const std::optional<std::string> chain = ChainAt(snapshot.offset);
  if (!chain) {
    return SnapshotCompared{snapshot.offset, SnapshotComparison::kNotComparable};
  }
  if (*chain != snapshot.chain) {
    Refuse("snapshot_disagrees");
    return SnapshotCompared{snapshot.offset, SnapshotComparison::kDiffers};
  }
  if (snapshot.offset >= last_snapshot_offset_) {
    last_snapshot_offset_ = snapshot.offset;
    last_snapshot_time_ = context.time;
  }
  return SnapshotCompared{snapshot.offset, SnapshotComparison::kMatches};
}

}  // namespace cactusshelf
