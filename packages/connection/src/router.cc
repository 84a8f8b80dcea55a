#include <algorithm>
#include <utility>

#include "router_impl.h"

// Handles messages and timers, and forwards the public interface to the implementation.
namespace cactusshelf {

Router::Impl::Impl(RouterOptions options, MemberId self, const DomainId& domain, OwnerOf owner_of,
                   Random random)
    : env_{options, std::move(self), 0, std::move(owner_of), random, {}, {}, {}, {}, {}},
      claim_owner_(env_),
      run_registry_(env_),
      claim_client_(env_, {[this](Now now, RequestToken token, ClaimNumber number) {
                             OnGranted(now, token, number);
                           },
                           [this](Now now, RequestToken token, ClaimResolution end) {
                             OnClaimResolved(now, token, std::move(end));
                           }}),
      slot_exchange_(env_, services_, [this](const EndpointId& endpoint) -> ServiceState* {
        const auto it = services_by_endpoint_.find(endpoint);
        return it == services_by_endpoint_.end() ? nullptr : it->second;
      }) {
  env_.domain = env_.costs.IndexOf(domain);
}

void Router::Impl::OnRouterMessage(Now now, const MemberId& from, RouterMessage message) {
  HandleMessage(now, from, std::move(message));
  FinishInput(now);
}

void Router::Impl::OnTimer(Now now) {
  while (const std::optional<TimerKey> key = env_.timers.TakeDue(now.monotonic)) {
    HandleTimer(now, *key);
  }
  FinishInput(now);
}

void Router::Impl::SetAuthority(Now now, Time valid_until) {
  claim_owner_.SetAuthority(valid_until);
  FinishInput(now);
}

void Router::Impl::StartDraining(Now now) {
  draining_ = true;
  for (auto& [id, service] : services_) {
    service->pool().shares().StopLending();
  }
  FinishInput(now);
}

bool Router::Impl::drained() const {
  return transferring_slots_ && slot_exchange_.AllTransfersConfirmed() &&
         std::ranges::none_of(services_, [&](const auto& item) {
           return item.second->pool().shares().HoldsTransferableSlot(last_input_time_);
         });
}

// Must be called at the end of every input method. Handles the messages of this member to itself,
// and starts the transfer of the slots once a draining router has no request in flight.
void Router::Impl::FinishInput(Now now) {
  last_input_time_ = now.monotonic;
  while (!env_.local_messages.empty()) {
    RouterMessage message = std::move(env_.local_messages.front());
    env_.local_messages.pop_front();
    HandleMessage(now, env_.self, std::move(message));
  }
  if (draining_ && !transferring_slots_ && total_in_flight_ == 0) {
    transferring_slots_ = true;
    for (auto& [id, service] : services_) {
      service->pool().shares().Drain(now.monotonic);
    }
    slot_exchange_.SendTransfers(now);
  }
}

void Router::Impl::HandleMessage(Now now, const MemberId& from, RouterMessage message) {
  std::visit(VisitorOverloads{[&](Claim& claim) { claim_owner_.OnClaim(now, from, claim); },
                              [&](ClaimReply& reply) { claim_client_.OnReply(now, from, reply); },
                              [&](ClaimDone& done) { claim_owner_.OnDone(from, done); },
                              [&](FetchAnswer& fetch) { run_registry_.OnFetch(from, fetch); },
                              [&](Answer& answer) { claim_client_.OnAnswer(now, from, answer); },
                              [&](LeaseGrant& grant) {
                                slot_exchange_.OnLeaseGrant(now, from, grant);
                                for (auto& [id, service] : services_) {
                                  Dispatch(now, *service);
                                }
                              },
                              [&](SlotReturn& returned) {
                                slot_exchange_.OnSlotReturn(now, from, returned);
                                for (auto& [id, service] : services_) {
                                  Dispatch(now, *service);
                                }
                              },
                              [&](DemandReport& demand) {
                                for (const EndpointId& endpoint : demand.leaving) {
                                  MarkEndpointLeaving(now, endpoint);
                                }
                                slot_exchange_.OnDemandReport(now, from, demand);
                              }},
             message);
}

void Router::Impl::HandleTimer(Now now, TimerKey key) {
  const auto& [kind, id] = key;
  switch (kind) {
    case TimerKind::kTick:
      Tick(now);
      return;
    case TimerKind::kCallDeadline:
      OnDeadline(now, RequestToken{id});
      return;
    case TimerKind::kClaimResend:
      claim_client_.OnResendTimer(now, RequestToken{id});
      return;
    case TimerKind::kAttemptLate:
      OnAttemptLate(now, AttemptId{id});
      return;
    case TimerKind::kAttemptOverdue:
      OnAttemptOverdue(now, AttemptId{id});
      return;
    case TimerKind::kAttemptCancelTimeout:
      OnCancelledAttemptEnded(now, AttemptId{id}, AttemptFailed{});
      return;
    case TimerKind::kQueue:
      const auto it = services_by_number_.find(id);
      if (it != services_by_number_.end()) {
        Dispatch(now, *it->second);
      }
      return;
  }
}

void Router::Impl::Tick(Now now) {
  env_.timers.Arm({TimerKind::kTick, 0}, now.monotonic + env_.options.demand_period);
  for (auto& [id, service] : services_) {
    service->UpdateSmoothedDemand();
  }
  slot_exchange_.UpdateLocalDemand();
  for (auto& [id, service] : services_) {
    service->pool().Tick(now);
  }
  slot_exchange_.ReturnSurplusSlots(now);
  slot_exchange_.SendPeriodicDemand(now);
  for (auto& [id, service] : services_) {
    Dispatch(now, *service);
  }
  RemoveUnusedServices(now);
}

Router::Router(RouterOptions options, MemberId self, const DomainId& domain, OwnerOf owner_of,
               Random random)
    : impl_(std::make_unique<Impl>(options, std::move(self), domain, std::move(owner_of), random)) {
}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::ApplyServices(Now now, const RoutingTable& table) { impl_->ApplyServices(now, table); }

void Router::SetMembers(Now now, const std::vector<RouterMember>& members) {
  impl_->SetMembers(now, members);
}

void Router::SetCustomerRetired(Now now, const CustomerId& customer) {
  impl_->SetCustomerRetired(now, customer);
}

void Router::SetEndpointLeaving(Now now, const EndpointId& endpoint) {
  impl_->SetEndpointLeaving(now, endpoint);
}

void Router::OnRequest(Now now, RequestToken token, Request request) {
  impl_->OnRequest(now, token, std::move(request));
}

void Router::OnCallerDisconnected(Now now, RequestToken token) {
  impl_->OnCallerDisconnected(now, token);
}

void Router::OnAttemptEvent(Now now, AttemptId attempt, AttemptEvent event) {
  impl_->OnAttemptEvent(now, attempt, std::move(event));
}

void Router::OnPeerMessage(Now now, const MemberId& from, RouterMessage message) {
  impl_->OnRouterMessage(now, from, std::move(message));
}

void Router::OnTimer(Now now) { impl_->OnTimer(now); }

void Router::SetAuthority(Now now, Time valid_until) { impl_->SetAuthority(now, valid_until); }

void Router::StartDraining(Now now) { impl_->StartDraining(now); }

bool Router::drained() const { return impl_->drained(); }

std::vector<RouterEffect> Router::TakeEffects() { return std::exchange(impl_->env().effects, {}); }

std::optional<Time> Router::NextWakeup() const { return impl_->env().timers.Next(); }

const Counters& Router::counters() const { return impl_->env().counters; }

std::size_t Router::in_flight(const CustomerId& customer) const {
  return impl_->in_flight(customer);
}

std::size_t Router::in_flight() const { return impl_->in_flight(); }

}  // namespace cactusshelf
