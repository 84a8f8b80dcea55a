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

// Writes the attestations that open retirements still need from this member. Not thread-safe.
class RetirementAttester {
 public:
  // What the attester asks the rest of the node.
  struct Sources {
    std::function<std::size_t(const CustomerId&)> requests_in_flight;
    // Evidence for a cell of this member, given the least epoch that counts.
    std::function<std::optional<Attest::Cell>(const CellId&, const CustomerId&, Offset)> cell;
  };

  RetirementAttester(MemberId self, Sources sources)
      : self_(std::move(self)), sources_(std::move(sources)) {}

  // Attestations to append now. One that does not reach the log is returned again after kRepeat.
  std::vector<Attest> Poll(const Now& now, const LogState& state);

 private:
  static constexpr Duration kRepeat = std::chrono::seconds(5);

  void PollCase(const Now& now, const LogState& state, const RetirementTracker& open,
                std::vector<Attest>& attestations);
  std::optional<Attest> Attestation(const Now& now, const LogState& state,
                                    const RetirementTracker& open, const MissingProof& missing);
  bool IsRepeatDue(Time now, const CustomerId& customer, const std::string& name);

  MemberId self_;
  Sources sources_;
  std::map<std::pair<CustomerId, std::string>, Time> repeat_at_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_RETIREMENT_ATTESTER_H_
