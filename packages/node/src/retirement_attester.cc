#include "retirement_attester.h"

namespace cactusshelf {

std::vector<Attest> RetirementAttester::Poll(const Now& now, const LogState& state) {
  std::vector<Attest> attestations;
  for (const auto& [customer, retirement] : state.retirements().trackers()) {
    if (!retirement.complete()) {
      PollCase(now, state, retirement, attestations);
    }
  }
  return attestations;
}

void RetirementAttester::PollCase(const Now& now, const LogState& state,
                                  const RetirementTracker& retirement,
                                  std::vector<Attest>& attestations) {
  for (const MissingProof& missing : retirement.MissingProofs()) {
    auto attestation = MakeAttestation(now, state, retirement, missing);
    if (attestation && IsRetryDue(now.monotonic, retirement.scope().customer, missing.name)) {
      attestations.push_back(std::move(*attestation));
    }
  }
}

std::optional<Attest> RetirementAttester::MakeAttestation(const Now& now, const LogState& state,
                                                          const RetirementTracker& retirement,
                                                          const MissingProof& missing) {
  const CustomerId& customer = retirement.scope().customer;
  Attest attestation{customer, self_, state.offset(), 0, std::nullopt};
  switch (missing.kind) {
    case MissingProof::Kind::kMember:
      if (missing.name != self_.str() || queries_.requests_in_flight(customer) != 0) {
        return std::nullopt;
      }
      return attestation;
    case MissingProof::Kind::kCell:
      attestation.cell =
          queries_.cell_evidence(CellId(missing.name), customer, retirement.scope().epoch);
      if (!attestation.cell) {
        return std::nullopt;
      }
      return attestation;
    case MissingProof::Kind::kRemovalNotLapsed:
      // The proof is a record whose timestamp is late enough. Without other appends to the log, no
      // such record may appear, so this attestation provides one.
      if (!missing.lapses_at || now.wall < *missing.lapses_at ||
          queries_.requests_in_flight(customer) != 0) {
        return std::nullopt;
      }
      return attestation;
  }
  return std::nullopt;
}

bool RetirementAttester::IsRetryDue(Time now, const CustomerId& customer, const std::string& name) {
  const auto [it, inserted] = next_retry_.try_emplace({customer, name}, now + kRetryInterval);
  if (inserted) {
    return true;
  }
  if (now < it->second) {
    return false;
  }
  it->second = now + kRetryInterval;
  return true;
}

}  // namespace cactusshelf
