#include "cactusshelf/connection/endpoint_ejector.h"

#include <algorithm>
#include <cassert>

namespace cactusshelf {

namespace {

constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kLongestEjection = std::chrono::seconds(60);
constexpr std::uint32_t kMaxLevel = 6;  // 1 s doubled six times exceeds the longest ejection.
// An endpoint that stayed in use for this long starts again with the first ejection time.
constexpr Duration kForgetAfter = std::chrono::seconds(60);

}  // namespace

EndpointEjector::EndpointEjector(double limit) : limit_(limit) { assert(limit >= 0 && limit <= 1); }

void EndpointEjector::Add(std::size_t n) {
  if (n >= states_.size()) {
    states_.resize(n + 1);
  }
  Remove(n);
  states_[n].present = true;
  ++present_;
}

void EndpointEjector::Remove(std::size_t n) {
  State& state = states_[n];
  if (state.present) {
    --present_;
  }
  if (state.ejected) {
    --ejected_;
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
  if (state.probing || now < state.until) {
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
    const double allowed = limit_ * static_cast<double>(present_);
    if (static_cast<double>(ejected_ + 1) > allowed) {
      return false;
    }
    if (now - state.readmitted > kForgetAfter) {
      state.level = 0;
    }
    ++ejected_;
  }
  state.ejected = true;
  state.probing = false;
  state.failures = 0;
  state.until = now + std::min(kFirstEjection * (1U << state.level), kLongestEjection);
  state.level = std::min(state.level + 1, kMaxLevel);
  return true;
}

void EndpointEjector::Readmit(Time now, State& state) {
  --ejected_;
  state.ejected = false;
  state.probing = false;
  state.readmitted = now;
}

}  // namespace cactusshelf
