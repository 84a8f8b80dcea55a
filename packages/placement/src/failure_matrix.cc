#include "failure_matrix.h"

#include <algorithm>
#include <chrono>

namespace cactusshelf {
namespace {

// A class that failed on three workers, or a worker on which three classes failed, is itself the
// likely cause.
constexpr std::size_t kMinDistinctFailures = 3;
// A cell may run fewer than three classes. A worker is therefore also faulty after this number of
// failures of classes that have succeeded before.
constexpr std::uint32_t kMinKnownGoodClassFailures = 4;
constexpr std::uint32_t kMinPairFailures = 2;
constexpr Duration kPairFailureRetention = std::chrono::minutes(10);
constexpr std::size_t kMaxPairs = 10000;
constexpr Duration kInitialQuarantine = std::chrono::seconds(30);
constexpr Duration kMaxQuarantine = std::chrono::minutes(30);

}  // namespace

void FailureMatrix::AddFailure(Time now, ClassIndex job_class, WorkerSlot worker) {
  PairRecord& pair = pairs_[{job_class, worker}];
  ++pair.failures;
  pair.last = now;
  DropOldPairs(now);
  if (IsWorkerQuarantined(worker)) {
    ExtendQuarantine(now, worker_quarantines_, worker);
    return;
  }
  if (IsClassQuarantined(job_class)) {
    ExtendQuarantine(now, class_quarantines_, job_class);
    return;
  }
  Failures& of_worker = by_worker_[worker];
  Failures& of_class = by_class_[job_class];
  ++of_worker[job_class];
  ++of_class[worker];
  if (IsWorkerFaulty(of_worker)) {
    QuarantineWorker(now, worker);
  } else if (of_class.size() >= kMinDistinctFailures) {
    QuarantineClass(now, job_class);
  }
}

void FailureMatrix::AddSuccess(ClassIndex job_class, WorkerSlot worker) {
  known_good_classes_.insert(job_class);
  pairs_.erase({job_class, worker});
  by_class_.erase(job_class);
  by_worker_.erase(worker);
  class_quarantines_.erase(job_class);
  worker_quarantines_.erase(worker);
}

bool FailureMatrix::IsClassQuarantined(ClassIndex job_class) const {
  return class_quarantines_.contains(job_class);
}

bool FailureMatrix::IsWorkerQuarantined(WorkerSlot worker) const {
  return worker_quarantines_.contains(worker);
}

Time FailureMatrix::ClassProbeAt(ClassIndex job_class) const {
  return class_quarantines_.at(job_class).probe_at;
}

Time FailureMatrix::WorkerProbeAt(WorkerSlot worker) const {
  return worker_quarantines_.at(worker).probe_at;
}

void FailureMatrix::BeginClassProbe(Time now, ClassIndex job_class) {
  Quarantine& quarantine = class_quarantines_.at(job_class);
  quarantine.probe_at = now + quarantine.delay;
}

void FailureMatrix::BeginWorkerProbe(Time now, WorkerSlot worker) {
  Quarantine& quarantine = worker_quarantines_.at(worker);
  quarantine.probe_at = now + quarantine.delay;
}

bool FailureMatrix::IsPairFailing(Time now, ClassIndex job_class, WorkerSlot worker) const {
  const auto it = pairs_.find({job_class, worker});
  return it != pairs_.end() && it->second.failures >= kMinPairFailures &&
         now < it->second.last + kPairFailureRetention;
}

void FailureMatrix::ExtendQuarantine(Time now, Quarantines& quarantines, std::uint32_t key) {
  Quarantine& quarantine = quarantines[key];
  quarantine.delay = quarantine.delay == Duration::zero()
                         ? kInitialQuarantine
                         : std::min(2 * quarantine.delay, kMaxQuarantine);
  quarantine.probe_at = now + quarantine.delay;
}

bool FailureMatrix::IsWorkerFaulty(const Failures& failures) const {
  if (failures.size() >= kMinDistinctFailures) {
    return true;
  }
  std::uint32_t known_good_failures = 0;
  for (const auto& [job_class, count] : failures) {
    if (known_good_classes_.contains(job_class)) {
      known_good_failures += count;
    }
  }
  return known_good_failures >= kMinKnownGoodClassFailures;
}

void FailureMatrix::QuarantineWorker(Time now, WorkerSlot worker) {
  ExtendQuarantine(now, worker_quarantines_, worker);
  by_worker_.erase(worker);
  // Failures on a faulty worker are no evidence against the classes.
  for (auto& [job_class, failures] : by_class_) {
    failures.erase(worker);
  }
}

void FailureMatrix::QuarantineClass(Time now, ClassIndex job_class) {
  ExtendQuarantine(now, class_quarantines_, job_class);
  by_class_.erase(job_class);
  for (auto& [worker, failures] : by_worker_) {
    failures.erase(job_class);
  }
}

void FailureMatrix::DropOldPairs(Time now) {
  if (pairs_.size() > kMaxPairs) {
    std::erase_if(
        pairs_, [&](const auto& item) { return item.second.last + kPairFailureRetention <= now; });
  }
}

}  // namespace cactusshelf
