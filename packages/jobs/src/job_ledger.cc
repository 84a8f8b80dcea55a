#include "cactusshelf/jobs/job_ledger.h"

#include <utility>

namespace cactusshelf::jobs {

void JobLedger::Apply(JobLogRecord record) {
  std::visit([this](auto& value) { this->ApplyRecord(std::move(value)); }, record);
}

void JobLedger::ApplyRecord(OwnerRecord record) {
  if (record.epoch >= owner_.epoch) owner_ = std::move(record);
}

void JobLedger::ApplyRecord(RosterRecord record) { roster_ = std::move(record.workers); }

void JobLedger::ApplyRecord(SubmittedJob record) {
  Entry& entry = entries_[record.key];
  // A repeated submission of the same job changes nothing.
  if (entry.job != nullptr) return;
  entry.job = std::make_shared<const SubmittedJob>(std::move(record));
}

void JobLedger::ApplyRecord(const CancelRecord& record) { entries_[record.key].cancelled = true; }

void JobLedger::ApplyRecord(ProgressRecord record) {
  entries_[record.key].progress = std::move(record.progress);
}

void JobLedger::ApplyRecord(const DropRecord& record) { entries_.erase(record.key); }

const JobLedger::Entry* JobLedger::Find(const JobKey& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end() || it->second.job == nullptr) return nullptr;
  return &it->second;
}

JobState JobLedger::StateOf(const Entry& entry) {
  if (IsFinal(entry.progress.state)) return entry.progress.state;
  return entry.cancelled ? JobState::kCancelled : entry.progress.state;
}

int JobLedger::PendingJobs(const std::string& queue) const {
  int n = 0;
  for (const auto& [key, entry] : entries_) {
    const bool of_queue = entry.job != nullptr && entry.job->queue.name == queue;
    if (of_queue && StateOf(entry) == JobState::kQueued) ++n;
  }
  return n;
}

}  // namespace cactusshelf::jobs
