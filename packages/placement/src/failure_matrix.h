#ifndef CACTUSSHELF_PLACEMENT_SRC_FAILURE_MATRIX_H_
#define CACTUSSHELF_PLACEMENT_SRC_FAILURE_MATRIX_H_

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "cactusshelf/base/time.h"
#include "interner.h"
#include "worker_index.h"

namespace cactusshelf {

// Distinguishes a job class that fails on every worker from a worker on which every class fails, by
// the recorded pairs of class and worker. Both are quarantined for increasing times and released
// after one successful probe. Not thread-safe.
class FailureMatrix {
 public:
  void AddFailure(Time now, ClassIndex job_class, WorkerSlot worker);
  void AddSuccess(ClassIndex job_class, WorkerSlot worker);

  bool IsClassQuarantined(ClassIndex job_class) const;
  bool IsWorkerQuarantined(WorkerSlot worker) const;

  // Time from which a quarantined class or worker may run one task as a probe. Precondition: the
  // class or worker is quarantined.
  Time ClassProbeAt(ClassIndex job_class) const;
  Time WorkerProbeAt(WorkerSlot worker) const;

  // Records the start of a probe. The next probe is due after the quarantine time unless this one
  // succeeds. Precondition: as above.
  void BeginClassProbe(Time now, ClassIndex job_class);
  void BeginWorkerProbe(Time now, WorkerSlot worker);

  // True if the class failed on this worker repeatedly since its last success there.
  bool IsPairFailing(Time now, ClassIndex job_class, WorkerSlot worker) const;

 private:
  struct Quarantine {
    Time probe_at;
    Duration delay{};
  };
  using Quarantines = std::unordered_map<std::uint32_t, Quarantine>;
  // Number of failures with each class or worker since the last success.
  using Failures = std::map<std::uint32_t, std::uint32_t>;
  struct PairRecord {
    std::uint32_t failures = 0;
    Time last;
  };

  static void ExtendQuarantine(Time now, Quarantines& quarantines, std::uint32_t key);
  bool IsWorkerFaulty(const Failures& failures) const;
  void QuarantineWorker(Time now, WorkerSlot worker);
  void QuarantineClass(Time now, ClassIndex job_class);
  void DropOldPairs(Time now);

  std::unordered_map<ClassIndex, Failures> by_class_;   // Keyed by worker.
  std::unordered_map<WorkerSlot, Failures> by_worker_;  // Keyed by class.
  std::map<std::pair<ClassIndex, WorkerSlot>, PairRecord> pairs_;
  std::set<ClassIndex> known_good_classes_;  // Classes with at least one success.
  Quarantines class_quarantines_;
  Quarantines worker_quarantines_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_FAILURE_MATRIX_H_
