#include "endpoint_pool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cactusshelf {

namespace {

// Entry hosts apply a new member list within this time of each other, with a wide margin.
constexpr Duration kMapLag = std::chrono::seconds(8);
constexpr Duration kSlowCheckPeriod = std::chrono::seconds(1);
constexpr double kMinSlowSamples = 8;
// Three times the median of the peers is beyond the noise of a median of eight samples.
constexpr int kSlowFactor = 3;
constexpr Duration kSlowMargin = std::chrono::milliseconds(1);
// A request that must not be repeated probes an endpoint only if no other request did.
constexpr Duration kProbeDelay = std::chrono::seconds(1);

SlotSharesOptions SharesOptions(const RouterEnv& env) {
  const RouterOptions& options = env.options;
  const Duration leases = options.token_lease + options.token_lease / 20;
  return SlotSharesOptions{env.self,
                           env.domain,
                           options.token_lease,
                           options.max_request_timeout + leases + kMapLag,
                           options.protections.lease_margin,
                           options.protections.slot_tokens};
}

}  // namespace

EndpointPool::EndpointPool(RouterEnv& env)
    : env_(&env),
      ejector_(env.options.protections.ejection_floor ? env.options.ejection_limit : 1.0),
      shares_(SharesOptions(env), env.costs, [this](std::uint32_t n, bool free) {
        endpoints_[n].free_slot = free;
        UpdateCandidate(n);
      }) {}

void EndpointPool::Apply(Now now, const ServiceEntry& service, bool fresh) {
  slots_ = std::max(service.slots, 1U);
  connections_ = service.connections;
  std::vector<bool> seen(endpoints_.size(), false);
  for (const EndpointEntry& entry : service.endpoints) {
    const std::uint32_t n = Place(entry.id);
    if (n >= seen.size()) {
      seen.resize(n + 1, false);
    }
    seen[n] = true;
    Endpoint& endpoint = endpoints_[n];
    endpoint.entry = entry;
    endpoint.domain = env_->costs.IndexOf(entry.domain);
    if (!endpoint.present) {
      ++present_;
      endpoint.present = true;
      endpoint.leaving = false;
      ejector_.Add(n);
    }
    shares_.AddEndpoint(now.monotonic, n, entry.id, endpoint.domain, slots_, fresh);
    UpdateCandidate(n);
  }
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    if (endpoints_[n].present && !seen[n]) {
      Remove(now, n);
    }
  }
}

void EndpointPool::SetMembers(Now now, const std::vector<RouterMember>& members, bool founder) {
  members_ = std::max<std::size_t>(members.size(), 1);
  std::vector<std::size_t> domains;
  domains.reserve(members.size());
  for (const RouterMember& member : members) {
    domains.push_back(env_->costs.IndexOf(member.domain));
  }
  shares_.SetMembers(now.monotonic, members, domains, founder);
}

bool EndpointPool::SetLeaving(Now /*now*/, const EndpointId& endpoint) {
  const auto it = indexes_.find(endpoint);
  if (it == indexes_.end() || endpoints_[it->second].leaving) {
    return false;
  }
  endpoints_[it->second].leaving = true;
  UpdateCandidate(it->second);
  return true;
}

void EndpointPool::Tick(Now now) {
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    shares_.SetInUse(n, InUse(n) && !endpoints_[n].tracker.Suspect(now.monotonic));
  }
  shares_.Tick(now.monotonic);
  median_ = latency_.Median();
  if (now.monotonic >= next_slow_check_) {
    next_slow_check_ = now.monotonic + kSlowCheckPeriod;
    EjectSlow(now);
    Purge(now);
  }
}

std::optional<EndpointPool::Picked> EndpointPool::Pick(Now now, const PickRequest& request) {
  const std::optional<Picked> probe = PickProbe(now, request);
  if (probe) {
    return probe;
  }
  const auto choice = picker_.Pick(
      env_->random, [&](std::size_t domain) { return env_->costs.Cost(env_->domain, domain); },
      [&](std::uint32_t n) -> std::optional<Duration> {
        if (!Usable(now, n, request)) {
          return std::nullopt;
        }
        return CostOf(now, n);
      });
  if (!choice) {
    return std::nullopt;
  }
  if (ShouldWait(*choice, request)) {
    spill_after_ = env_->costs.Cost(env_->domain, choice->domain);
    return std::nullopt;
  }
  const auto slot = shares_.Take(now.monotonic, choice->endpoint, request.end);
  assert(slot);
  return Picked{choice->endpoint, *slot, false};
}

void EndpointPool::Unpick(Now now, const Picked& picked) {
  if (picked.probe) {
    ejector_.OnProbeAbandoned(picked.endpoint);
  }
  Release(now, picked);
}

void EndpointPool::OnSent(const Picked& picked) { endpoints_[picked.endpoint].tracker.OnSent(); }

void EndpointPool::OnLate(std::uint32_t endpoint) { endpoints_[endpoint].tracker.OnLate(); }

void EndpointPool::OnOverdue(Now now, std::uint32_t endpoint) {
  if (ejector_.OnFailure(now.monotonic, endpoint)) {
    OnEjected(now, endpoint, "overdue");
  }
}

void EndpointPool::OnEnded(Now now, const Picked& picked, bool late, AttemptResult result,
                           Duration elapsed) {
  const std::uint32_t n = picked.endpoint;
  EndpointTracker& tracker = endpoints_[n].tracker;
  tracker.OnEnded(late);
  if (result == AttemptResult::kNoVerdict) {
    if (picked.probe) {
      ejector_.OnProbeAbandoned(n);
    }
    return;
  }
  if (result == AttemptResult::kFailure) {
    tracker.OnFailure(now.monotonic);
    shares_.SetInUse(n, false);  // Until the next tick at least.
    if (ejector_.OnFailure(now.monotonic, n)) {
      OnEjected(now, n, "failures");
    }
    return;
  }
  const Duration latency = std::max(elapsed - RoundTrip(n), Duration(1));
  const Duration usual = latency_.Median();
  tracker.OnLatency(now.monotonic, latency);
  latency_.OnLatency(latency);
  if (picked.probe && FarSlower(latency, usual)) {
    if (ejector_.OnSlow(now.monotonic, n)) {
      OnEjected(now, n, "slow");
    }
    return;
  }
  ejector_.OnSuccess(now.monotonic, n);
  const bool open = ejector_.AccessTo(now.monotonic, n) == EndpointAccess::kOpen;
  if (picked.probe && open) {
    std::erase(ejected_, n);
    UpdateCandidate(n);
  }
}

void EndpointPool::Release(Now now, const Picked& picked) {
  shares_.Release(now.monotonic, picked.endpoint, picked.slot);
}

std::optional<Duration> EndpointPool::LateAfter(std::uint32_t endpoint) const {
  const std::optional<Duration> late = latency_.HedgeAfter();
  if (!late) {
    return std::nullopt;
  }
  return *late + RoundTrip(endpoint);
}

std::optional<Duration> EndpointPool::OverdueAfter(std::uint32_t endpoint) const {
  const std::optional<Duration> overdue = latency_.OverdueAfter();
  if (!overdue) {
    return std::nullopt;
  }
  return *overdue + RoundTrip(endpoint);
}

Duration EndpointPool::ExpectedWait(std::size_t ahead) const {
  if (shares_.usable() == 0) {
    return Duration::zero();
  }
  const auto rounds = static_cast<double>(ahead) / static_cast<double>(shares_.usable());
  return Duration(
      static_cast<Duration::rep>(rounds * static_cast<double>(latency_.Mean().count())));
}

std::vector<EndpointId> EndpointPool::Leaving() const {
  std::vector<EndpointId> leaving;
  for (const Endpoint& endpoint : endpoints_) {
    if (endpoint.present && endpoint.leaving) {
      leaving.push_back(endpoint.entry.id);
    }
  }
  return leaving;
}

std::uint32_t EndpointPool::Place(const EndpointId& id) {
  const auto it = indexes_.find(id);
  if (it != indexes_.end()) {
    return it->second;
  }
  std::uint32_t n = 0;
  if (reusable_.empty()) {
    n = static_cast<std::uint32_t>(endpoints_.size());
    endpoints_.emplace_back();
  } else {
    n = reusable_.back();
    reusable_.pop_back();
  }
  endpoints_[n] = Endpoint{};
  endpoints_[n].used = true;
  indexes_.emplace(id, n);
  return n;
}

void EndpointPool::Remove(Now now, std::uint32_t n) {
  Endpoint& endpoint = endpoints_[n];
  endpoint.present = false;
  endpoint.removed = now.monotonic;
  --present_;
  ejector_.Remove(n);
  std::erase(ejected_, n);
  UpdateCandidate(n);
}

// An endpoint that was removed keeps its slots until all attempts of all entry hosts have ended,
// so that they still count if it is added again.
void EndpointPool::Purge(Now now) {
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    Endpoint& endpoint = endpoints_[n];
    const bool gone = endpoint.used && !endpoint.present && endpoint.tracker.in_flight() == 0;
    if (!gone || now.monotonic - endpoint.removed < env_->options.max_request_timeout + kMapLag) {
      continue;
    }
    shares_.RemoveEndpoint(n);
    indexes_.erase(endpoint.entry.id);
    endpoint.used = false;
    reusable_.push_back(n);
  }
}

bool EndpointPool::InUse(std::uint32_t n) const {
  const Endpoint& endpoint = endpoints_[n];
  const bool leaving = endpoint.leaving && env_->options.protections.avoid_leaving;
  const bool open = ejector_.AccessTo(Time::max(), n) == EndpointAccess::kOpen;
  return endpoint.present && !leaving && open;
}

void EndpointPool::UpdateCandidate(std::uint32_t n) {
  const bool in_use = InUse(n);
  if (!in_use) {
    shares_.SetInUse(n, false);
  }
  picker_.SetCandidate(n, endpoints_[n].domain, in_use && endpoints_[n].free_slot);
}

void EndpointPool::EjectSlow(Now now) {
  std::vector<Duration> medians;
  for (const Endpoint& endpoint : endpoints_) {
    if (endpoint.present && endpoint.tracker.samples() >= kMinSlowSamples) {
      medians.push_back(endpoint.tracker.Median());
    }
  }
  if (medians.size() < 3) {
    return;
  }
  const auto middle = medians.begin() + static_cast<std::ptrdiff_t>(medians.size() / 2);
  std::ranges::nth_element(medians, middle);
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    const EndpointTracker& tracker = endpoints_[n].tracker;
    const bool known = endpoints_[n].present && tracker.samples() >= kMinSlowSamples;
    if (known && FarSlower(tracker.Median(), *middle) && ejector_.OnSlow(now.monotonic, n)) {
      OnEjected(now, n, "slow");
    }
  }
}

void EndpointPool::OnEjected(Now /*now*/, std::uint32_t n, const char* reason) {
  env_->counters.Add("cactusshelf_ejections_total", reason);
  // What was learned before says nothing about the endpoint after its readmission.
  endpoints_[n].tracker.ForgetLatency();
  if (std::ranges::find(ejected_, n) == ejected_.end()) {
    ejected_.push_back(n);
  }
  UpdateCandidate(n);
}

bool EndpointPool::FarSlower(Duration latency, Duration usual) const {
  return usual > Duration::zero() && latency > usual * kSlowFactor + kSlowMargin;
}

bool EndpointPool::Usable(Now now, std::uint32_t n, const PickRequest& request) const {
  // With no endpoint left that was not tried, any may be tried again.
  const bool avoids = request.avoid != nullptr && request.avoid->size() < present_;
  const bool avoided = avoids && std::ranges::find(*request.avoid, n) != request.avoid->end();
  const std::size_t limit = connections_ / members_;
  const bool connection = endpoints_[n].tracker.in_flight() < limit;
  return !avoided && connection && shares_.CanTake(now.monotonic, n, request.end);
}

std::optional<EndpointPool::Picked> EndpointPool::PickProbe(Now now, const PickRequest& request) {
  const Time at = request.idempotent ? now.monotonic : now.monotonic - kProbeDelay;
  for (const std::uint32_t n : ejected_) {
    const Endpoint& endpoint = endpoints_[n];
    const bool due = ejector_.AccessTo(at, n) == EndpointAccess::kProbe;
    if (!due || !endpoint.present || endpoint.leaving || !Usable(now, n, request)) {
      continue;
    }
    const auto slot = shares_.Take(now.monotonic, n, request.end);
    ejector_.OnProbeSent(now.monotonic, n);
    return Picked{n, *slot, true};
  }
  return std::nullopt;
}

bool EndpointPool::ShouldWait(const EndpointPicker::Choice& choice,
                              const PickRequest& request) const {
  const bool near = choice.domain == env_->domain;
  const std::size_t near_slots = shares_.usable_near();
  if (near || near_slots == 0 || picker_.CountIn(env_->domain) > 0) {
    return false;
  }
  const auto rounds = static_cast<double>(request.queued) / static_cast<double>(near_slots);
  const double wait = rounds * static_cast<double>(latency_.Mean().count());
  const Duration link = env_->costs.Cost(env_->domain, choice.domain);
  return request.waited < link && wait < static_cast<double>(link.count());
}

Duration EndpointPool::CostOf(Now now, std::uint32_t n) const {
  const EndpointTracker& tracker = endpoints_[n].tracker;
  return tracker.Expected(now.monotonic, median_) * (tracker.in_flight() + 1) / slots_;
}

Duration EndpointPool::RoundTrip(std::uint32_t n) const {
  return env_->costs.RoundTrip(env_->domain, endpoints_[n].domain);
}

}  // namespace cactusshelf
