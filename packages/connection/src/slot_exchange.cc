#include "slot_exchange.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace cactusshelf {

namespace {

constexpr Duration kUrgentDemandPeriod = std::chrono::milliseconds(25);

// A host without demand borrows nothing, so its report only has to be repeated in case a message
// was lost. Four messages per second to each member would use most of the control traffic budget.
constexpr Duration kIdleDemandPeriod = std::chrono::seconds(2);
constexpr Duration kTransferResendPeriod = std::chrono::milliseconds(500);
// Well below the time after which the new home takes the slots without a transfer.
constexpr Duration kTransferTimeout = std::chrono::seconds(20);
constexpr std::size_t kMaxRememberedTransfers = 1000;

bool IsRecent(Now now, Time last) {
  return last != Time::min() && now.monotonic - last < kUrgentDemandPeriod;
}

}  // namespace

SlotExchange::SlotExchange(RouterEnv& env, Services& services,
                           std::function<ServiceState*(const EndpointId&)> find_service)
    : env_(&env), services_(&services), find_service_(std::move(find_service)) {}

void SlotExchange::SetMembers(const std::vector<RouterMember>& members) {
  peers_.clear();
  for (const RouterMember& member : members) {
    if (member.id != env_->self) {
      peers_.push_back(member.id);
    }
  }
  std::erase_if(received_transfers_, [&](const auto& item) { return !IsPeer(item.first); });
}

void SlotExchange::SendPeriodicDemand(Now now) {
  const bool has_no_demand = !HasDemand();
  const bool has_changed = !has_no_demand || !last_demand_was_zero_;
  if (has_changed || now.monotonic - last_demand_report_ >= kIdleDemandPeriod) {
    last_demand_was_zero_ = has_no_demand;
    SendDemand(now);
  }
}

bool SlotExchange::HasDemand() const {
  return std::ranges::any_of(*services_, [](const auto& item) {
    return item.second->DemandOf(ServiceState::RequestClass::kAnySlot) > 0;
  });
}

void SlotExchange::SendDemand(Now now) {
  if (peers_.empty()) {
    return;
  }
  last_demand_report_ = now.monotonic;
  DemandReport demand{now.monotonic, {}, {}};
  for (const auto& [id, service] : *services_) {
    const double slots = service->DemandOf(ServiceState::RequestClass::kAnySlot);
    demand.services.push_back(SlotDemand{id, static_cast<std::uint32_t>(std::ceil(slots))});
    for (EndpointId& endpoint : service->pool().Leaving()) {
      demand.leaving.push_back(std::move(endpoint));
    }
  }
  for (const MemberId& peer : peers_) {
    env_->Send(peer, demand);
  }
}

void SlotExchange::SendUrgentDemand(Now now) {
  if (IsRecent(now, last_demand_report_)) {
    return;
  }
  UpdateLocalDemand();
  ReturnSurplusSlots(now);
  SendDemand(now);
}

void SlotExchange::UpdateLocalDemand() {
  for (auto& [id, service] : *services_) {
    service->pool().shares().SetLocalDemand(
        service->DemandOf(ServiceState::RequestClass::kAnySlot),
        service->DemandOf(ServiceState::RequestClass::kOwnSlotOnly));
  }
}

void SlotExchange::ReturnSurplusSlots(Now now) {
  last_surplus_return_ = now.monotonic;
  for (auto& [id, service] : *services_) {
    service->pool().shares().ReturnSurplus(now.monotonic);
  }
  SendTransfers(now);
}

void SlotExchange::SendTransfers(Now now) {
  std::vector<std::pair<MemberId, SlotReturn>> returns;
  for (const auto& [id, service] : *services_) {
    for (SlotShares::Transfer& transfer : service->pool().shares().TakeTransfers(now.monotonic)) {
      const auto is_same_transfer = [&](const std::pair<MemberId, SlotReturn>& item) {
        return item.first == transfer.to && item.second.number == transfer.number &&
               item.second.endpoints_unusable == transfer.endpoint_unusable;
      };
      auto it = std::ranges::find_if(returns, is_same_transfer);
      if (it == returns.end()) {
        returns.emplace_back(transfer.to,
                             SlotReturn{transfer.number, {}, transfer.endpoint_unusable});
        it = std::prev(returns.end());
      }
      it->second.slots.push_back(std::move(transfer.slots));
    }
  }
  for (auto& [to, message] : returns) {
    if (message.number == 0) {
      message.transfer = ++last_transfer_;
      unconfirmed_[message.transfer] =
          UnconfirmedTransfer{to, message, now.monotonic, now.monotonic};
    }
    env_->Send(to, std::move(message));
  }
  ResendUnconfirmed(now);
}

void SlotExchange::OnDemandReport(Now now, const MemberId& from, const DemandReport& demand) {
  LeaseGrant grant{demand.requested_at, env_->options.token_lease, ++last_lease_, {}};
  for (const SlotDemand& service_demand : demand.services) {
    const auto it = services_->find(service_demand.service);
    if (it == services_->end()) {
      continue;
    }
    SlotShares& shares = it->second->pool().shares();
    shares.SetDemand(now.monotonic, from, service_demand.slots);
    for (SlotSet& slots : shares.LendTo(now.monotonic, from, grant.number)) {
      grant.slots.push_back(std::move(slots));
    }
  }
  if (!grant.slots.empty()) {
    env_->Send(from, std::move(grant));
  }
  if (!IsRecent(now, last_surplus_return_)) {
    ReturnSurplusSlots(now);
  }
}

void SlotExchange::OnLeaseGrant(Now now, const MemberId& from, const LeaseGrant& grant) {
  const Time until = grant.requested_at + grant.lease;
  for (const SlotSet& slots : grant.slots) {
    ServiceState* service = find_service_(slots.endpoint);
    if (service != nullptr) {
      service->pool().shares().OnLend(now.monotonic, from, grant.number, until, slots);
    }
  }
}

void SlotExchange::ResendUnconfirmed(Now now) {
  std::erase_if(unconfirmed_, [&](const auto& item) {
    return !IsPeer(item.second.to) || now.monotonic - item.second.first_sent > kTransferTimeout;
  });
  for (auto& [number, transfer] : unconfirmed_) {
    if (now.monotonic - transfer.last_sent >= kTransferResendPeriod) {
      transfer.last_sent = now.monotonic;
      env_->Send(transfer.to, transfer.message);
    }
  }
}

bool SlotExchange::IsPeer(const MemberId& member) const {
  return std::ranges::find(peers_, member) != peers_.end();
}

bool SlotExchange::KnowsAllEndpoints(const SlotReturn& returned) const {
  return std::ranges::all_of(returned.slots, [&](const SlotSet& slots) {
    return find_service_(slots.endpoint) != nullptr;
  });
}

void SlotExchange::OnSlotReturn(Now now, const MemberId& from, const SlotReturn& returned) {
  if (returned.is_confirmation) {
    unconfirmed_.erase(returned.transfer);
    return;
  }
  if (returned.number == 0) {
    // Before this member has the configuration of the endpoints it cannot hold their slots. The
    // sender repeats the transfer.
    if (!KnowsAllEndpoints(returned)) {
      return;
    }
    env_->Send(from, SlotReturn{0, {}, false, returned.transfer, true});
    std::set<TransferNumber>& received = received_transfers_[from];
    const bool is_duplicate = !received.insert(returned.transfer).second;
    if (is_duplicate) {
      return;
    }
    if (received.size() > kMaxRememberedTransfers) {
      received.erase(received.begin());
    }
  }
  for (const SlotSet& slots : returned.slots) {
    ServiceState* service = find_service_(slots.endpoint);
    if (service != nullptr) {
      service->pool().shares().OnReturn(now.monotonic, from, returned, slots);
    }
  }
}

}  // namespace cactusshelf
