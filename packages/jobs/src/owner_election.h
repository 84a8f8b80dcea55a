#ifndef CACTUSSHELF_JOBS_SRC_OWNER_ELECTION_H_
#define CACTUSSHELF_JOBS_SRC_OWNER_ELECTION_H_

#include <optional>
#include <string>

#include "cactusshelf/base/random.h"
#include "cactusshelf/jobs/job_record.h"

namespace cactusshelf::jobs {

struct ElectionOptions {
  // An owner that has stored nothing for this long, while the log could be read, is replaced.
  Duration owner_silence = std::chrono::milliseconds(1300);
  // Upper bound of a random delay that keeps two processes from claiming at the same time.
  Duration claim_jitter = std::chrono::milliseconds(300);
  // Fixed delay; longer on processes that are less preferred as owner.
  Duration claim_delay{};
  // Longest gap between two reads that counts as silence of the owner. A longer gap restarts the
  // measurement, because the owner's state is unknown while the store does not answer.
  Duration max_read_gap = std::chrono::milliseconds(900);
};

// Decides when this process should claim the ownership of a cell. Of the claims of one generation
// the first in the log is valid, so two processes cannot both succeed. Not thread-safe.
class OwnerElection {
 public:
  OwnerElection(const ElectionOptions& options, std::string member, std::string host,
                std::uint64_t seed)
      : options_(options), member_(std::move(member)), host_(std::move(host)), random_(seed) {
    Reset();
  }

  // The log was read at `now`, and to its end unless `owner_active`, which is true if new records
  // of the owner were read.
  void OnRead(bool owner_active, Time now);

  // True if this process should claim the ownership; `extra_delay` is added to the time to wait.
  // Precondition: `owner` is the current owner according to the log.
  bool ShouldClaim(const OwnerRecord& owner, Duration extra_delay) const;

  // Restarts the measurement with a new random delay after a claim failed or an ownership ended.
  void Reset();

 private:
  ElectionOptions options_;
  std::string member_;
  std::string host_;
  Random random_;
  Duration random_delay_{};
  Duration observed_silence_{};
  std::optional<Time> last_read_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_OWNER_ELECTION_H_
