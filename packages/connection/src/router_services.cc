#include <algorithm>
#include <utility>

#include "cactusshelf/base/errors.h"
#include "router_impl.h"

// Updates of the configuration: routing table, members, customers and endpoints.
namespace cactusshelf {
namespace {

constexpr std::uint32_t kMaxSlots = 64;

}  // namespace

void Router::Impl::ApplyServices(Now now, const RoutingTable& table) {
  for (const ServiceEntry& entry : table.services) {
    if (entry.slots > kMaxSlots) {
      throw Error("service " + entry.id.str() + " has more than 64 slots per endpoint");
    }
  }
  env_.costs.SetLinks(table.links);
  customer_priorities_.clear();
  for (const CustomerEntry& customer : table.customers) {
    customer_priorities_[customer.id] = customer.priority;
  }
  customers_by_account_.clear();
  for (const AccountEntry& account : table.accounts) {
    customers_by_account_[account.id] = account.customer;
    rate_limiters_.try_emplace(account.id, account.rate, now.monotonic)
        .first->second.SetRate(account.rate);
  }
  std::erase_if(rate_limiters_,
                [&](const auto& item) { return !customers_by_account_.contains(item.first); });

  for (auto& [id, service] : services_) {
    service->configured = false;
  }
  // If this host was a member before this table, no member can hold slots of a new endpoint.
  const bool no_prior_holder = is_member_ && (sole_member_since_start_ || table_received_);
  for (const ServiceEntry& entry : table.services) {
    auto& service = services_[entry.id];
    if (!service) {
      service = std::make_unique<ServiceState>(env_, next_service_number_++);
      services_by_number_[service->number()] = service.get();
      if (members_received_) {
        service->pool().SetMembers(now, members_, false);
      }
    }
    service->configured = true;
    service->SetEntry(entry);
    for (const EndpointEntry& endpoint : entry.endpoints) {
      services_by_endpoint_[endpoint.id] = service.get();
    }
    service->pool().ApplyService(now, entry, no_prior_holder);
  }
  table_received_ = true;
  for (auto& [id, service] : services_) {
    if (!service->configured) {
      ServiceEntry empty_entry = service->entry();
      empty_entry.endpoints.clear();
      service->pool().ApplyService(now, empty_entry, false);
    }
  }
  std::erase_if(services_by_endpoint_,
                [](const auto& item) { return !item.second->pool().Contains(item.first); });
  std::vector<RequestToken> unknown;
  for (const auto& [token, call] : calls_) {
    if (call.phase == Call::Phase::kQueued && !call.service->configured) {
      unknown.push_back(token);
    }
  }
  std::ranges::sort(unknown);
  for (const RequestToken token : unknown) {
    FinishUnanswered(now, calls_.at(token), Reason::kUnknownService);
  }
  Tick(now);
  FinishInput(now);
}

void Router::Impl::SetMembers(Now now, const std::vector<RouterMember>& members) {
  members_ = members;
  is_member_ = std::ranges::any_of(
      members, [&](const RouterMember& member) { return member.id == env_.self; });
  const bool is_sole_member = is_member_ && members.size() == 1;
  const bool sole_initial_member = is_sole_member && !members_received_;
  sole_member_since_start_ = is_sole_member && (sole_initial_member || sole_member_since_start_);
  members_received_ = true;
  claim_owner_.SetMembers(members);
  slot_exchange_.SetMembers(members);
  for (auto& [id, service] : services_) {
    service->pool().SetMembers(now, members, sole_initial_member);
  }
  claim_client_.SetMembers(now, members);
  Tick(now);
  FinishInput(now);
}

void Router::Impl::SetCustomerRetired(Now now, const CustomerId& customer) {
  retired_customers_.insert(customer);
  std::vector<RequestToken> queued;
  for (const auto& [token, call] : calls_) {
    if (call.phase == Call::Phase::kQueued && IsRetired(call)) {
      queued.push_back(token);
    }
  }
  std::ranges::sort(queued);
  for (const RequestToken token : queued) {
    FinishUnanswered(now, calls_.at(token), Reason::kCustomerRetired);
  }
  FinishInput(now);
}

void Router::Impl::SetEndpointLeaving(Now now, const EndpointId& endpoint) {
  MarkEndpointLeaving(now, endpoint);
  FinishInput(now);
}

ServiceState* Router::Impl::FindService(const ServiceId& id) {
  const auto it = services_.find(id);
  const bool found = it != services_.end() && it->second->configured;
  return found ? it->second.get() : nullptr;
}

void Router::Impl::MarkEndpointLeaving(Now now, const EndpointId& endpoint) {
  const auto it = services_by_endpoint_.find(endpoint);
  if (it != services_by_endpoint_.end()) {
    it->second->pool().SetLeaving(now, endpoint);
  }
}

void Router::Impl::RemoveUnusedServices(Now /*now*/) {
  std::erase_if(services_, [&](const auto& item) {
    ServiceState& service = *item.second;
    if (service.configured || service.active() > 0 || !service.pool().Empty()) {
      return false;
    }
    services_by_number_.erase(service.number());
    std::erase_if(services_by_endpoint_,
                  [&](const auto& endpoint) { return endpoint.second == &service; });
    env_.timers.Disarm({TimerKind::kQueue, service.number()});
    return true;
  });
}

}  // namespace cactusshelf
