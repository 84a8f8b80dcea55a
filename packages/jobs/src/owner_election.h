#ifndef CACTUSSHELF_JOBS_SRC_OWNER_ELECTION_H_
#define CACTUSSHELF_JOBS_SRC_OWNER_ELECTION_H_

#include <optional>
#include <string>

#include "cactusshelf/base/random.h"
#include "cactusshelf/jobs/job_record.h"

namespace cactusshelf::jobs {

struct ElectionOptions {
  // An owner that has stored nothing for so long, while others could read, is replaced.
  Duration owner_silence = std::chrono::milliseconds(1300);
  // Added at random, so that seldom two processes try at the same time.
  Duration claim_jitter = std::chrono::milliseconds(300);
  // Added always: a process that should rather not own the cell waits longer.
  Duration claim_delay{};
  // Silence is measured over reads that follow each other within this time; while the store does
  // not answer nobody knows whether the owner is silent.
  Duration max_read_gap = std::chrono::milliseconds(900);
};

// Decides when this process should try to become the owner. Ownership goes to whoever appends the
// next owner record at the known end of the log, so two processes cannot both succeed.
// Not thread-safe.
class OwnerElection {
 public:
  OwnerElection(const ElectionOptions& options, std::string member, std::string host,
                std::uint64_t seed)
      : options_(options), member_(std::move(member)), host_(std::move(host)), random_(seed) {
    Reset();
  }

  // The log was read up to its end at `now`; `active` if it held records of the owner.
  void OnRead(bool owner_active, Time now);

  // True if this process should claim to be the owner, after an additional delay. Precondition:
  // `owner` is what the log says.
  bool ShouldClaim(const OwnerRecord& owner, Duration extra_delay) const;

  // An attempt has failed or succeeded.
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
