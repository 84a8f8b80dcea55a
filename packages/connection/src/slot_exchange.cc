#include "slot_exchange.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace cactusshelf {

namespace {

constexpr Duration kUrgentPeriod = std::chrono::milliseconds(25);

// A host without demand borrows nothing, so its demand only has to be repeated in case a message
// was lost. Four messages a second to each member would use most of the budget for control traffic.
constexpr Duration kIdlePeriod = std::chrono::seconds(2);
constexpr Duration kResendAfter = std::chrono::milliseconds(500);
// Well before the new home takes the slots without word of the former one.
constexpr Duration kGiveUpAfter = std::chrono::seconds(20);
constexpr std::size_t kRememberedTransfers = 1000;

bool Recent(Now now, Time last) {
  return last != Time::min() && now.monotonic - last < kUrgentPeriod;
}

}  // namespace

SlotExchange::SlotExchange(RouterEnv& env, Services& services,
                           std::function<ServiceState*(const EndpointId&)> service_of)
    : env_(&env), services_(&services), service_of_(std::move(service_of)) {}

void SlotExchange::SetMembers(const std::vector<RouterMember>& members) {
  others_.clear();
  for (const RouterMember& member : members) {
    if (member.id != env_->self) {
      others_.push_back(member.id);
    }
  }
  std::erase_if(received_, [&](const auto& item) { return !IsOther(item.first); });
}

void SlotExchange::SendPeriodicDemand(Now now) {
  const bool idle = !AnyDemand();
  const bool is_news = !idle || !last_was_idle_;
  if (is_news || now.monotonic - last_demand_ >= kIdlePeriod) {
    last_was_idle_ = idle;
    SendDemand(now);
  }
}

bool SlotExchange::AnyDemand() const {
  return std::ranges::any_of(*services_, [](const auto& item) {
    return item.second->DemandOf(ServiceState::Lane::kLendable) > 0;
  });
}

void SlotExchange::SendDemand(Now now) {
  if (others_.empty()) {
    return;
  }
  last_demand_ = now.monotonic;
  DemandReport demand{now.monotonic, {}, {}};
  for (const auto& [id, service] : *services_) {
    const double slots = service->DemandOf(ServiceState::Lane::kLendable);
    demand.services.push_back(SlotDemand{id, static_cast<std::uint32_t>(std::ceil(slots))});
    for (EndpointId& endpoint : service->pool().Leaving()) {
      demand.leaving.push_back(std::move(endpoint));
    }
  }
  for (const MemberId& other : others_) {
    env_->Send(other, demand);
  }
}

void SlotExchange::SendUrgentDemand(Now now) {
  if (Recent(now, last_demand_)) {
    return;
  }
  RefreshOwnDemand();
  SendSurplus(now);
  SendDemand(now);
}

void SlotExchange::RefreshOwnDemand() {
  for (auto& [id, service] : *services_) {
    service->pool().shares().SetOwnDemand(service->DemandOf(ServiceState::Lane::kLendable),
                                          service->DemandOf(ServiceState::Lane::kOwnOnly));
  }
}

void SlotExchange::SendSurplus(Now now) {
  last_surplus_ = now.monotonic;
  for (auto& [id, service] : *services_) {
    service->pool().shares().ReturnSurplus(now.monotonic);
  }
  SendTransfers(now);
}

void SlotExchange::SendTransfers(Now now) {
  std::vector<std::pair<MemberId, SlotReturn>> returns;
  for (const auto& [id, service] : *services_) {
    for (SlotShares::Transfer& transfer : service->pool().shares().TakeTransfers(now.monotonic)) {
      const auto same = [&](const std::pair<MemberId, SlotReturn>& item) {
        return item.first == transfer.to && item.second.number == transfer.number &&
               item.second.endpoints_unusable == transfer.unusable;
      };
      auto it = std::ranges::find_if(returns, same);
      if (it == returns.end()) {
        returns.emplace_back(transfer.to, SlotReturn{transfer.number, {}, transfer.unusable});
        it = std::prev(returns.end());
      }
      it->second.slots.push_back(std::move(transfer.slots));
    }
  }
  for (auto& [to, message] : returns) {
    if (message.number == 0) {
      message.transfer = ++last_transfer_;
      unconfirmed_[message.transfer] = Sent{to, message, now.monotonic, now.monotonic};
    }
    env_->Send(to, std::move(message));
  }
  Resend(now);
}

void SlotExchange::OnDemand(Now now, const MemberId& from, const DemandReport& demand) {
  LeaseGrant lend{demand.requested_at, env_->options.token_lease, ++last_lease_, {}};
  for (const SlotDemand& wanted : demand.services) {
    const auto it = services_->find(wanted.service);
    if (it == services_->end()) {
      continue;
    }
    SlotShares& shares = it->second->pool().shares();
    shares.SetDemand(now.monotonic, from, wanted.slots);
    for (SlotSet& slots : shares.LendTo(now.monotonic, from, lend.number)) {
      lend.slots.push_back(std::move(slots));
    }
  }
  if (!lend.slots.empty()) {
    env_->Send(from, std::move(lend));
  }
  if (!Recent(now, last_surplus_)) {
    SendSurplus(now);
  }
}

void SlotExchange::OnLend(Now now, const MemberId& from, const LeaseGrant& lend) {
  const Time until = lend.requested_at + lend.lease;
  for (const SlotSet& slots : lend.slots) {
    ServiceState* service = service_of_(slots.endpoint);
    if (service != nullptr) {
      service->pool().shares().OnLend(now.monotonic, from, lend.number, until, slots);
    }
  }
}

void SlotExchange::Resend(Now now) {
  std::erase_if(unconfirmed_, [&](const auto& item) {
    return !IsOther(item.second.to) || now.monotonic - item.second.first > kGiveUpAfter;
  });
  for (auto& [number, sent] : unconfirmed_) {
    if (now.monotonic - sent.last >= kResendAfter) {
      sent.last = now.monotonic;
      env_->Send(sent.to, sent.message);
    }
  }
}

bool SlotExchange::IsOther(const MemberId& member) const {
  return std::ranges::find(others_, member) != others_.end();
}

bool SlotExchange::KnowsAll(const SlotReturn& returned) const {
  return std::ranges::all_of(
      returned.slots, [&](const SlotSet& slots) { return service_of_(slots.endpoint) != nullptr; });
}

void SlotExchange::OnReturn(Now now, const MemberId& from, const SlotReturn& returned) {
  if (returned.is_confirmation) {
    unconfirmed_.erase(returned.transfer);
    return;
  }
  if (returned.number == 0) {
    // Without its configuration this member cannot keep the slots; the sender tries again.
    if (!KnowsAll(returned)) {
      return;
    }
    env_->Send(from, SlotReturn{0, {}, false, returned.transfer, true});
    std::set<TransferNumber>& received = received_[from];
    const bool known = !received.insert(returned.transfer).second;
    if (known) {
      return;
    }
    if (received.size() > kRememberedTransfers) {
      received.erase(received.begin());
    }
  }
  for (const SlotSet& slots : returned.slots) {
    ServiceState* service = service_of_(slots.endpoint);
    if (service != nullptr) {
      service->pool().shares().OnReturn(now.monotonic, from, returned, slots);
    }
  }
}

}  // namespace cactusshelf
