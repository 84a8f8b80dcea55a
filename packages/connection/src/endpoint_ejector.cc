#include "cactusshelf/connection/endpoint_ejector.h"

#include <algorithm>
#include <cassert>

namespace cactusshelf {

namespace {

constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kMinEjectionTime = std::chrono::seconds(1);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(60);
// 1 s doubled six times exceeds the maximum ejection time.
constexpr std::uint32_t kMaxBackoffLevel = 6;
// An endpoint that was not ejected for this time starts again with the minimum ejection time.
constexpr Duration kBackoffResetAfter = std::chrono::seconds(60);

}  // namespace

EndpointEjector::EndpointEjector(double max_ejected_fraction)
    : max_ejected_fraction_(max_ejected_fraction) {
  assert(max_ejected_fraction >= 0 && max_ejected_fraction <= 1);
}

void EndpointEjector::Add(std::size_t n) {
  if (n >= states_.size()) {
    states_.resize(n + 1);
  }
  Remove(n);
  states_[n].present = true;
  ++present_count_;
}

void EndpointEjector::Remove(std::size_t n) {
  State& state = states_[n];
  if (state.present) {
    --present_count_;
  }
  if (state.ejected) {
    --ejected_count_;
  }
  state = State{};
}

void EndpointEjector::OnSuccess(Time now, std::size_t n) {
  State& state = states_[n];
  state.failures = 0;
  if (state.ejected && state.probing) {
    Readmit(now, state);
  }
}

bool EndpointEjector::OnFailure(Time now, std::size_t n) {
  State& state = states_[n];
  if (state.ejected) {
    return state.probing && Eject(now, state);
  }
  ++state.failures;
  return state.failures >= kFailuresToEject && Eject(now, state);
}

bool EndpointEjector::OnSlow(Time now, std::size_t n) {
  State& state = states_[n];
  if (state.ejected && !state.probing) {
    return false;
  }
  return Eject(now, state);
}

void EndpointEjector::OnProbeAbandoned(std::size_t n) { states_[n].probing = false; }

EndpointAccess EndpointEjector::AccessTo(Time now, std::size_t n) const {
  const State& state = states_[n];
  if (!state.ejected) {
    return EndpointAccess::kOpen;
  }
  if (state.probing || now < state.ejected_until) {
    return EndpointAccess::kClosed;
  }
  return EndpointAccess::kProbe;
}

void EndpointEjector::OnProbeSent(Time now, std::size_t n) {
  assert(AccessTo(now, n) == EndpointAccess::kProbe);
  states_[n].probing = true;
}

bool EndpointEjector::Eject(Time now, State& state) {
  if (!state.present) {
    return false;
  }
  if (!state.ejected) {
    const double max_ejected = max_ejected_fraction_ * static_cast<double>(present_count_);
    if (static_cast<double>(ejected_count_ + 1) > max_ejected) {
      return false;
    }
    if (now - state.readmitted_at > kBackoffResetAfter) {
      state.backoff_level = 0;
    }
    ++ejected_count_;
  }
  state.ejected = true;
  state.probing = false;
  state.failures = 0;
  state.ejected_until =
      now + std::min(kMinEjectionTime * (1U << state.backoff_level), kMaxEjectionTime);
  state.backoff_level = std::min(state.backoff_level + 1, kMaxBackoffLevel);
  return true;
}

void EndpointEjector::Readmit(Time now, State& state) {
  --ejected_count_;
  state.ejected = false;
  state.probing = false;
  state.readmitted_at = now;
}

}  // namespace cactusshelf
