#ifndef CACTUSSHELF_NODE_RETIREMENT_ATTESTER_H_
#define CACTUSSHELF_NODE_RETIREMENT_ATTESTER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/version/log_state.h"

namespace cactusshelf {

// Produces the attestations that incomplete retirements still require from this member. Not
// thread-safe.
class RetirementAttester {
 public:
  // Queries to other components of the node.
  struct Queries {
    std::function<std::size_t(const CustomerId&)> requests_in_flight;
    // Evidence for a cell that this member owns. The last argument is the lowest valid epoch.
    std::function<std::optional<Attest::Cell>(const CellId&, const CustomerId&, Offset)>
        cell_evidence;
  };

  RetirementAttester(MemberId self, Queries queries)
      : self_(std::move(self)), queries_(std::move(queries)) {}

  // Returns the attestations to append now. An attestation that does not reach the log is returned
  // again after kRetryInterval.
  std::vector<Attest> Poll(const Now& now, const LogState& state);

 private:
  static constexpr Duration kRetryInterval = std::chrono::seconds(5);

  void PollCase(const Now& now, const LogState& state, const RetirementTracker& retirement,
                std::vector<Attest>& attestations);
  std::optional<Attest> MakeAttestation(const Now& now, const LogState& state,
                                        const RetirementTracker& retirement,
                                        const MissingProof& missing);
  // Whether the attestation may be appended now. If so, starts the next retry interval.
  bool IsRetryDue(Time now, const CustomerId& customer, const std::string& name);

  MemberId self_;
  Queries queries_;
  std::map<std::pair<CustomerId, std::string>, Time> next_retry_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_RETIREMENT_ATTESTER_H_
