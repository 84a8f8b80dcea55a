#include "retirement_attester.h"

namespace cactusshelf {

std::vector<Attest> RetirementAttester::Poll(const Now& now, const LogState& state) {
  std::vector<Attest> attestations;
  for (const auto& [customer, open] : state.retirements().trackers()) {
    if (!open.complete()) {
      PollCase(now, state, open, attestations);
    }
  }
  return attestations;
}

void RetirementAttester::PollCase(const Now& now, const LogState& state,
                                  const RetirementTracker& open,
                                  std::vector<Attest>& attestations) {
  for (const MissingProof& missing : open.MissingProofs()) {
    auto attestation = Attestation(now, state, open, missing);
    if (attestation && IsRepeatDue(now.monotonic, open.scope().customer, missing.name)) {
      attestations.push_back(std::move(*attestation));
    }
  }
}

std::optional<Attest> RetirementAttester::Attestation(const Now& now, const LogState& state,
                                                      const RetirementTracker& open,
                                                      const MissingProof& missing) {
  const CustomerId& customer = open.scope().customer;
  Attest attestation{customer, self_, state.offset(), 0, std::nullopt};
  switch (missing.kind) {
    case MissingProof::Kind::kMember:
      if (missing.name != self_.str() || sources_.requests_in_flight(customer) != 0) {
        return std::nullopt;
      }
      return attestation;
    case MissingProof::Kind::kCell:
      attestation.cell = sources_.cell(CellId(missing.name), customer, open.scope().epoch);
      if (!attestation.cell) {
        return std::nullopt;
      }
      return attestation;
    case MissingProof::Kind::kRemovalNotLapsed:
      // The proof is a record with a late enough timestamp; without other traffic none may come.
      if (!missing.lapses_at || now.wall < *missing.lapses_at ||
          sources_.requests_in_flight(customer) != 0) {
        return std::nullopt;
      }
      return attestation;
  }
  return std::nullopt;
}

bool RetirementAttester::IsRepeatDue(Time now, const CustomerId& customer,
                                     const std::string& name) {
  const auto [it, inserted] = repeat_at_.try_emplace({customer, name}, now + kRepeat);
  if (inserted) {
    return true;
  }
  if (now < it->second) {
    return false;
  }
  it->second = now + kRepeat;
  return true;
}

}  // namespace cactusshelf
