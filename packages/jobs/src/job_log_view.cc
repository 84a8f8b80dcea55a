#include "cactusshelf/jobs/job_log_view.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactusshelf::jobs {

void JobLogView::Apply(JobLogRecord record, std::int64_t offset) {
  std::visit([&](auto& value) { this->ApplyRecord(std::move(value), offset); }, record);
}

// Only the newest record of each host is kept. That is sufficient because a host's next claim has a
// higher generation and the owner's later records carry the epoch of its claim.
void JobLogView::ApplyRecord(OwnerRecord record, std::int64_t offset) {
  const std::string host = record.host;
  claims_[host] = {std::move(record), offset};
  const auto holds_less = [](const auto& left, const auto& right) {
    const OwnerRecord& a = left.second.record;
    const OwnerRecord& b = right.second.record;
    return std::tuple(a.generation, a.epoch != 0, -left.second.offset) <
           std::tuple(b.generation, b.epoch != 0, -right.second.offset);
  };
  const auto& [name, holder] = *std::max_element(claims_.begin(), claims_.end(), holds_less);
  owner_ = holder.record;
  if (owner_.epoch == 0) owner_.epoch = holder.offset + 1;
}

void JobLogView::ApplyRecord(RosterRecord record, std::int64_t offset) {
  roster_ = std::move(record.workers);
  roster_offset_ = offset;
}

void JobLogView::ApplyRecord(RosterTasksRecord record, std::int64_t offset) {
  roster_tasks_ = std::move(record);
  roster_tasks_offset_ = offset;
}

// The two records may be read in any order, and a later roster may have no tasks.
const std::map<std::string, std::vector<TaskRef>>& JobLogView::roster_tasks() const {
  static const std::map<std::string, std::vector<TaskRef>> none;
  const bool together = roster_offset_ >= 0 && roster_tasks_offset_ == roster_offset_ + 1;
  return together ? roster_tasks_.tasks : none;
}

void JobLogView::ApplyRecord(RosterLeasesRecord record, std::int64_t offset) {
  roster_leases_ = std::move(record);
  roster_leases_offset_ = offset;
  roster_leases_read_at_ = read_at_;
}

std::map<std::string, JobLogView::RosterLease> JobLogView::RosterLeases() const {
  std::map<std::string, RosterLease> leases;
  const bool of_roster = roster_offset_ >= 0 && roster_leases_offset_ > roster_offset_;
  const bool kept = owner_.limits_since != 0 && owner_.limits_since <= roster_leases_.generation;
  if (!of_roster || !kept) return leases;
  for (const auto& [worker, remaining] : roster_leases_.remaining)
    leases[worker] = {roster_leases_read_at_ + remaining,
                      roster_leases_.exclusive.contains(worker)};
  return leases;
}

void JobLogView::ApplyRecord(LeaseRecord record, std::int64_t /*offset*/) {
  leases_ = std::move(record);
}

void JobLogView::ApplyRecord(const CellCountRecord& record, std::int64_t /*offset*/) {
  cell_count_ = record.cells;
}

void JobLogView::ApplyRecord(InterferenceRecord record, std::int64_t /*offset*/) {
  interference_ = std::move(record);
}

void JobLogView::ApplyRecord(VotingHostsRecord record, std::int64_t /*offset*/) {
  voting_hosts_ = std::move(record);
}

VotingHostsRecord JobLogView::VotingHosts() const {
  const std::int64_t since = owner_.host_votes_since;
  const bool kept = since != 0 && since <= voting_hosts_.generation;
  return kept ? voting_hosts_ : VotingHostsRecord{};
}

std::vector<OwnerRecord> JobLogView::ClaimsOf(std::int64_t first, std::int64_t last) const {
  std::vector<OwnerRecord> claims;
  for (const auto& [host, claim] : claims_) {
    const std::int64_t generation = claim.record.generation;
    if (generation >= first && generation <= last) claims.push_back(claim.record);
  }
  return claims;
}

void JobLogView::ApplyRecord(HostRecord record, std::int64_t /*offset*/) {
  const std::string host = record.host;
  hosts_[host] = std::move(record);
  ++host_announcements_;
}

void JobLogView::ApplyRecord(SubmittedJob record, std::int64_t /*offset*/) {
  Entry& entry = EntryOf(record.key);
  // A submission may be stored more than once; only the first counts.
  if (entry.job != nullptr) return;
  if (entry.handed_over_to) ++hand_over_changes_;
  entry.job = std::make_shared<const SubmittedJob>(std::move(record));
}

void JobLogView::ApplyRecord(const CancelRecord& record, std::int64_t /*offset*/) {
  Entry& entry = EntryOf(record.key);
  if (entry.handed_over_to) ++hand_over_changes_;
  entry.cancelled = true;
}

void JobLogView::ApplyRecord(const HandOverRecord& record, std::int64_t /*offset*/) {
  EntryOf(record.key).handed_over_to = record.cell;
  handed_over_[record.cell].insert(record.key);
  ++hand_over_changes_;
}

void JobLogView::ApplyRecord(ProgressRecord record, std::int64_t /*offset*/) {
  EntryOf(record.key).progress = std::move(record.progress);
}

void JobLogView::ApplyRecord(const DropRecord& record, std::int64_t /*offset*/) {
  Erase(record.key);
}

void JobLogView::Erase(const JobKey& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  if (it->second.handed_over_to) handed_over_[*it->second.handed_over_to].erase(key);
  entries_.erase(it);
}

JobLogView::Entry& JobLogView::EntryOf(const JobKey& key) {
  Entry& entry = entries_[key];
  entry.listing = listing_;
  return entry;
}

std::vector<JobKey> JobLogView::DropJobsMissingFromListing() {
  std::vector<JobKey> missing;
  for (const auto& [key, entry] : entries_) {
    if (entry.listing != listing_) missing.push_back(key);
  }
  for (const JobKey& key : missing) Erase(key);
  return missing;
}

const JobLogView::Entry* JobLogView::Find(const JobKey& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end() || it->second.job == nullptr) return nullptr;
  return &it->second;
}

JobState JobLogView::StateOf(const Entry& entry) {
  if (IsFinal(entry.progress.state)) return entry.progress.state;
  return entry.cancelled ? JobState::kCancelled : entry.progress.state;
}

const std::set<JobKey>& JobLogView::JobsHandedOverTo(int cell) const {
  static const std::set<JobKey> none;
  const auto it = handed_over_.find(cell);
  return it == handed_over_.end() ? none : it->second;
}

}  // namespace cactusshelf::jobs
