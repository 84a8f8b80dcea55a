#include "endpoint_pool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cactusshelf {

namespace {

// Upper bound, with a wide margin, of the time between the first and the last entry host that apply
// a new member list.
constexpr Duration kMaxMemberListLag = std::chrono::seconds(8);
constexpr Duration kSlowCheckPeriod = std::chrono::seconds(1);
constexpr double kMinSamplesForSlowCheck = 8;
// Three times the median of all endpoints exceeds the noise of a median of eight samples.
constexpr int kSlowFactor = 3;
constexpr Duration kMinSlowExcess = std::chrono::milliseconds(1);
// A non-idempotent request probes an endpoint only if no idempotent request has done so within this
// time, because a non-idempotent request cannot be retried after a failed probe.
constexpr Duration kNonIdempotentProbeDelay = std::chrono::seconds(1);

SlotSharesOptions SharesOptions(const RouterEnv& env) {
  const RouterOptions& options = env.options;
  const Duration leases = options.token_lease + options.token_lease / 20;
  return SlotSharesOptions{env.self,
                           env.domain,
                           options.token_lease,
                           options.max_request_timeout + leases + kMaxMemberListLag,
                           options.protections.lease_margin,
                           options.protections.slot_tokens};
}

}  // namespace

EndpointPool::EndpointPool(RouterEnv& env)
    : env_(&env),
      ejector_(env.options.protections.ejection_floor ? env.options.max_ejected_fraction : 1.0),
      shares_(SharesOptions(env), env.costs, [this](std::uint32_t n, bool has_free_slot) {
        endpoints_[n].has_free_slot = has_free_slot;
        UpdateCandidate(n);
      }) {}

void EndpointPool::ApplyService(Now now, const ServiceEntry& service, bool no_prior_holder) {
  slots_per_endpoint_ = std::max(service.slots, 1U);
  connections_per_endpoint_ = service.connections;
  std::vector<bool> seen(endpoints_.size(), false);
  for (const EndpointEntry& entry : service.endpoints) {
    const std::uint32_t n = FindOrAdd(entry.id);
    if (n >= seen.size()) {
      seen.resize(n + 1, false);
    }
    seen[n] = true;
    Endpoint& endpoint = endpoints_[n];
    endpoint.entry = entry;
    endpoint.domain = env_->costs.IndexOf(entry.domain);
    if (!endpoint.present) {
      ++present_count_;
      endpoint.present = true;
      endpoint.leaving = false;
      ejector_.Add(n);
    }
    shares_.AddEndpoint(now.monotonic, n, entry.id, endpoint.domain, slots_per_endpoint_,
                        no_prior_holder);
    UpdateCandidate(n);
  }
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    if (endpoints_[n].present && !seen[n]) {
      Remove(now, n);
    }
  }
}

void EndpointPool::SetMembers(Now now, const std::vector<RouterMember>& members,
                              bool sole_initial_member) {
  member_count_ = std::max<std::size_t>(members.size(), 1);
  std::vector<std::size_t> domains;
  domains.reserve(members.size());
  for (const RouterMember& member : members) {
    domains.push_back(env_->costs.IndexOf(member.domain));
  }
  shares_.SetMembers(now.monotonic, members, domains, sole_initial_member);
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
    shares_.SetEligible(n, IsEligible(n) && !endpoints_[n].tracker.IsSuspect(now.monotonic));
  }
  shares_.Tick(now.monotonic);
  service_median_ = service_latency_.Median();
  if (now.monotonic >= next_slow_check_) {
    next_slow_check_ = now.monotonic + kSlowCheckPeriod;
    EjectSlowEndpoints(now);
    PurgeRemoved(now);
  }
}

std::optional<EndpointPool::PickResult> EndpointPool::Pick(Now now, const PickRequest& request) {
  const std::optional<PickResult> probe = PickProbe(now, request);
  if (probe) {
    return probe;
  }
  const auto choice = picker_.Pick(
      env_->random, [&](std::size_t domain) { return env_->costs.Cost(env_->domain, domain); },
      [&](std::uint32_t n) -> std::optional<Duration> {
        if (!IsUsable(now, n, request)) {
          return std::nullopt;
        }
        return CostOf(now, n);
      });
  if (!choice) {
    return std::nullopt;
  }
  if (ShouldWait(*choice, request)) {
    spillover_delay_ = env_->costs.Cost(env_->domain, choice->domain);
    return std::nullopt;
  }
  const auto slot = shares_.Acquire(now.monotonic, choice->endpoint, request.latest_end);
  assert(slot);
  return PickResult{choice->endpoint, *slot, false};
}

void EndpointPool::CancelPick(Now now, const PickResult& picked) {
  if (picked.probe) {
    ejector_.OnProbeAbandoned(picked.endpoint);
  }
  Release(now, picked);
}

void EndpointPool::OnAttemptSent(const PickResult& picked) {
  endpoints_[picked.endpoint].tracker.OnAttemptSent();
}

void EndpointPool::OnAttemptLate(std::uint32_t endpoint) {
  endpoints_[endpoint].tracker.OnAttemptLate();
}

void EndpointPool::OnAttemptOverdue(Now now, std::uint32_t endpoint) {
  if (ejector_.OnFailure(now.monotonic, endpoint)) {
    OnEjected(now, endpoint, "overdue");
  }
}

void EndpointPool::OnAttemptEnded(Now now, const PickResult& picked, bool late,
                                  AttemptResult result, Duration elapsed) {
  const std::uint32_t n = picked.endpoint;
  EndpointTracker& tracker = endpoints_[n].tracker;
  tracker.OnAttemptEnded(late);
  if (result == AttemptResult::kInconclusive) {
    if (picked.probe) {
      ejector_.OnProbeAbandoned(n);
    }
    return;
  }
  if (result == AttemptResult::kFailure) {
    tracker.OnFailure(now.monotonic);
    shares_.SetEligible(n, false);  // At least until the next tick.
    if (ejector_.OnFailure(now.monotonic, n)) {
      OnEjected(now, n, "failures");
    }
    return;
  }
  const Duration latency = std::max(elapsed - RoundTrip(n), Duration(1));
  const Duration current_median = service_latency_.Median();
  tracker.OnLatency(now.monotonic, latency);
  service_latency_.OnLatency(latency);
  if (picked.probe && IsFarSlower(latency, current_median)) {
    if (ejector_.OnSlow(now.monotonic, n)) {
      OnEjected(now, n, "slow");
    }
    return;
  }
  ejector_.OnSuccess(now.monotonic, n);
  const bool open = ejector_.AccessTo(now.monotonic, n) == EndpointAccess::kOpen;
  if (picked.probe && open) {
    std::erase(ejected_endpoints_, n);
    UpdateCandidate(n);
  }
}

void EndpointPool::Release(Now now, const PickResult& picked) {
  shares_.Release(now.monotonic, picked.endpoint, picked.slot);
}

std::optional<Duration> EndpointPool::LateAfter(std::uint32_t endpoint) const {
  const std::optional<Duration> late = service_latency_.HedgeAfter();
  if (!late) {
    return std::nullopt;
  }
  return *late + RoundTrip(endpoint);
}

std::optional<Duration> EndpointPool::OverdueAfter(std::uint32_t endpoint) const {
  const std::optional<Duration> overdue = service_latency_.OverdueAfter();
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
      static_cast<Duration::rep>(rounds * static_cast<double>(service_latency_.Mean().count())));
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

std::uint32_t EndpointPool::FindOrAdd(const EndpointId& id) {
  const auto it = indexes_.find(id);
  if (it != indexes_.end()) {
    return it->second;
  }
  std::uint32_t n = 0;
  if (free_indexes_.empty()) {
    n = static_cast<std::uint32_t>(endpoints_.size());
    endpoints_.emplace_back();
  } else {
    n = free_indexes_.back();
    free_indexes_.pop_back();
  }
  endpoints_[n] = Endpoint{};
  endpoints_[n].index_in_use = true;
  indexes_.emplace(id, n);
  return n;
}

void EndpointPool::Remove(Now now, std::uint32_t n) {
  Endpoint& endpoint = endpoints_[n];
  endpoint.present = false;
  endpoint.removed_at = now.monotonic;
  --present_count_;
  ejector_.Remove(n);
  std::erase(ejected_endpoints_, n);
  UpdateCandidate(n);
}

// The slots of a removed endpoint are kept until all attempts of all entry hosts have ended, so
// that slots still in use are accounted for if the endpoint is added again.
void EndpointPool::PurgeRemoved(Now now) {
  for (std::uint32_t n = 0; n < endpoints_.size(); ++n) {
    Endpoint& endpoint = endpoints_[n];
    const bool is_unused =
        endpoint.index_in_use && !endpoint.present && endpoint.tracker.in_flight() == 0;
    if (!is_unused || now.monotonic - endpoint.removed_at <
                          env_->options.max_request_timeout + kMaxMemberListLag) {
      continue;
    }
    shares_.RemoveEndpoint(n);
    indexes_.erase(endpoint.entry.id);
    endpoint.index_in_use = false;
    free_indexes_.push_back(n);
  }
}

bool EndpointPool::IsEligible(std::uint32_t n) const {
  const Endpoint& endpoint = endpoints_[n];
  const bool leaving = endpoint.leaving && env_->options.protections.avoid_leaving;
  const bool open = ejector_.AccessTo(Time::max(), n) == EndpointAccess::kOpen;
  return endpoint.present && !leaving && open;
}

void EndpointPool::UpdateCandidate(std::uint32_t n) {
  const bool eligible = IsEligible(n);
  if (!eligible) {
    shares_.SetEligible(n, false);
  }
  picker_.SetCandidate(n, endpoints_[n].domain, eligible && endpoints_[n].has_free_slot);
}

void EndpointPool::EjectSlowEndpoints(Now now) {
  std::vector<Duration> medians;
  for (const Endpoint& endpoint : endpoints_) {
    if (endpoint.present && endpoint.tracker.sample_weight() >= kMinSamplesForSlowCheck) {
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
    const bool has_samples =
        endpoints_[n].present && tracker.sample_weight() >= kMinSamplesForSlowCheck;
    if (has_samples && IsFarSlower(tracker.Median(), *middle) &&
        ejector_.OnSlow(now.monotonic, n)) {
      OnEjected(now, n, "slow");
    }
  }
}

void EndpointPool::OnEjected(Now /*now*/, std::uint32_t n, const char* reason) {
  env_->counters.Add("cactusshelf_ejections_total", reason);
  // Statistics from before the ejection do not apply to the endpoint after its readmission.
  endpoints_[n].tracker.ResetLatency();
  if (std::ranges::find(ejected_endpoints_, n) == ejected_endpoints_.end()) {
    ejected_endpoints_.push_back(n);
  }
  UpdateCandidate(n);
}

bool EndpointPool::IsFarSlower(Duration latency, Duration reference_median) const {
  return reference_median > Duration::zero() &&
         latency > reference_median * kSlowFactor + kMinSlowExcess;
}

bool EndpointPool::IsUsable(Now now, std::uint32_t n, const PickRequest& request) const {
  // Once all endpoints have been tried, any endpoint may be tried again.
  const bool has_untried =
      request.tried_endpoints != nullptr && request.tried_endpoints->size() < present_count_;
  const bool already_tried = has_untried && std::ranges::find(*request.tried_endpoints, n) !=
                                                request.tried_endpoints->end();
  const std::size_t connection_limit = connections_per_endpoint_ / member_count_;
  const bool has_connection = endpoints_[n].tracker.in_flight() < connection_limit;
  return !already_tried && has_connection &&
         shares_.CanAcquire(now.monotonic, n, request.latest_end);
}

std::optional<EndpointPool::PickResult> EndpointPool::PickProbe(Now now,
                                                                const PickRequest& request) {
  const Time probe_time =
      request.idempotent ? now.monotonic : now.monotonic - kNonIdempotentProbeDelay;
  for (const std::uint32_t n : ejected_endpoints_) {
    const Endpoint& endpoint = endpoints_[n];
    const bool probe_due = ejector_.AccessTo(probe_time, n) == EndpointAccess::kProbe;
    if (!probe_due || !endpoint.present || endpoint.leaving || !IsUsable(now, n, request)) {
      continue;
    }
    const auto slot = shares_.Acquire(now.monotonic, n, request.latest_end);
    ejector_.OnProbeSent(now.monotonic, n);
    return PickResult{n, *slot, true};
  }
  return std::nullopt;
}

bool EndpointPool::ShouldWait(const EndpointPicker::Choice& choice,
                              const PickRequest& request) const {
  const bool is_local = choice.domain == env_->domain;
  const std::size_t local_slots = shares_.usable_local();
  if (is_local || local_slots == 0 || picker_.CandidateCount(env_->domain) > 0) {
    return false;
  }
  const auto rounds = static_cast<double>(request.queue_length) / static_cast<double>(local_slots);
  const double wait = rounds * static_cast<double>(service_latency_.Mean().count());
  const Duration link_cost = env_->costs.Cost(env_->domain, choice.domain);
  return request.waited < link_cost && wait < static_cast<double>(link_cost.count());
}

Duration EndpointPool::CostOf(Now now, std::uint32_t n) const {
  const EndpointTracker& tracker = endpoints_[n].tracker;
  return tracker.ExpectedLatency(now.monotonic, service_median_) * (tracker.in_flight() + 1) /
         slots_per_endpoint_;
}

Duration EndpointPool::RoundTrip(std::uint32_t n) const {
  return env_->costs.RoundTrip(env_->domain, endpoints_[n].domain);
}

}  // namespace cactusshelf
