#ifndef CACTUSSHELF_CONNECTION_BENCH_ROUTER_POLICY_H_
#define CACTUSSHELF_CONNECTION_BENCH_ROUTER_POLICY_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench_network.h"
#include "cactusshelf/base/rendezvous.h"
#include "cactusshelf/connection/router.h"

namespace cactusshelf::bench {

// Policy that uses the routers of all entry hosts, with the links between them.
class RouterPolicy : public Policy {
 public:
  RouterPolicy(Network& network, std::uint64_t seed) : network_(&network), random_(seed) {
    network.SetListener(
        [this](std::uint64_t attempt, int entry, AttemptEnd end) { OnEnd(attempt, entry, end); });
    BuildOwners();
    const RoutingTable table = Table();
    std::vector<RouterMember> members;
    for (int i = 0; i < kEntryHosts; ++i) {
      members.push_back({Member(i), Domain(network.DomainOfEntry(i))});
      hosts_.push_back(Host{
          std::make_unique<Router>(
              RouterOptions{}, Member(i), Domain(network.DomainOfEntry(i)),
              [this](std::string_view key) { return OwnerOfKey(key); }, Random(random_.Next())),
          Time::max()});
      for (int j = 0; j <= i; ++j) {
        Input(j, [&](Router& router) { router.SetMembers(CurrentTime(), members); });
      }
      Input(i, [&](Router& router) {
        router.ApplyServices(CurrentTime(), table);
        router.SetAuthority(CurrentTime(), Time::max());
      });
      network.events().RunUntil(network.events().now() + std::chrono::milliseconds(20));
    }
  }

  void OnArrival(std::size_t request, const Arrival& arrival) override {
    Request message;
    message.service = ServiceId("notices");
    message.account = AccountId("account");
    message.customer = CustomerId("customer");
    message.idempotent = arrival.idempotent;
    message.id = RequestId::Make(CurrentTime().wall, random_);
    Input(arrival.entry, [&](Router& router) {
      router.OnRequest(CurrentTime(), RequestToken{request}, std::move(message));
    });
  }

  Counters TotalCounters() const {
    Counters total;
    for (const Host& host : hosts_) {
      total.Merge(host.router->counters());
    }
    return total;
  }

 private:
  struct Host {
    std::unique_ptr<Router> router;
    Time wakeup = Time::max();
  };

  // The clocks of the hosts agree, and all ids are issued after the start of every ownership.
  static constexpr WallTime kOwnershipStart{std::chrono::hours(1)};
  static constexpr std::uint64_t kAttemptsPerHost = std::uint64_t{1} << 40;

  static MemberId Member(int n) { return MemberId("entry" + std::to_string(n) + "/1"); }
  static DomainId Domain(int n) { return DomainId("domain" + std::to_string(n)); }

  Now CurrentTime() const {
    const Time now = network_->events().now();
    const auto wall = std::chrono::floor<WallTime::duration>(now.time_since_epoch());
    return Now{now, kOwnershipStart + std::chrono::hours(1) + wall};
  }

  void BuildOwners() {
    std::vector<MemberId> members;
    members.reserve(kEntryHosts);
    for (int i = 0; i < kEntryHosts; ++i) {
      members.push_back(Member(i));
    }
    for (std::uint32_t shard = 0; shard < RequestId::kShards; ++shard) {
      const std::string key = "request/" + std::to_string(shard);
      owners_[key] = *RendezvousOwner(
          members, key, [](const MemberId& id) -> const std::string& { return id.str(); });
    }
  }

  std::optional<Ownership> OwnerOfKey(std::string_view key) const {
    return Ownership{owners_.at(std::string(key)), kOwnershipStart};
  }

  RoutingTable Table() const {
    const Deployment& deployment = network_->deployment();
    RoutingTable table;
    ServiceEntry service{
        ServiceId("notices"), CustomerId("customer"), kSlots, kConnections, kDeadline, {}};
    for (int i = 0; i < deployment.endpoints; ++i) {
      const EndpointId id("notices/" + std::to_string(i));
      service.endpoints.push_back({id, std::to_string(i), Domain(network_->DomainOfEndpoint(i))});
    }
    table.services.push_back(service);
    table.customers.push_back({CustomerId("customer"), 0});
    table.accounts.push_back({AccountId("account"), CustomerId("customer"), 0});
    for (int i = 0; i < deployment.domains; ++i) {
      for (int j = 0; j < deployment.domains; ++j) {
        const Duration cost = i == j ? Duration::zero() : std::chrono::milliseconds(2);
        table.links.push_back(
            {Domain(i), Domain(j), i == j ? kLocalDistance : deployment.distance, cost});
      }
    }
    return table;
  }

  template <typename Function>
  void Input(int host, Function function) {
    Host& h = hosts_[static_cast<std::size_t>(host)];
    function(*h.router);
    for (RouterEffect& effect : h.router->TakeEffects()) {
      Execute(host, effect);
    }
    const std::optional<Time> wakeup = h.router->NextWakeup();
    if (wakeup && *wakeup < h.wakeup) {
      h.wakeup = *wakeup;
      network_->events().At(*wakeup, [this, host, at = *wakeup] { FireTimer(host, at); });
    }
  }

  void FireTimer(int host, Time at) {
    Host& h = hosts_[static_cast<std::size_t>(host)];
    if (h.wakeup != at) {
      return;  // An earlier timer replaced this one.
    }
    h.wakeup = Time::max();
    Input(host, [&](Router& router) { router.OnTimer(CurrentTime()); });
  }

  static std::uint64_t GlobalAttemptId(int host, AttemptId attempt) {
    return static_cast<std::uint64_t>(host) * kAttemptsPerHost +
           static_cast<std::uint64_t>(attempt);
  }

  void Execute(int host, RouterEffect& effect) {
    if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      network_->Send(GlobalAttemptId(host, send->attempt), host, std::stoi(send->address),
                     static_cast<std::size_t>(send->request), send->deadline);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
      OnCancel(host, cancel->attempt);
    } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      const Result::Kind kinds[] = {Result::Kind::kAnswered, Result::Kind::kNotRun,
                                    Result::Kind::kUnknown};
      network_->Finish(static_cast<std::size_t>(answer->request),
                       kinds[static_cast<std::size_t>(answer->outcome)]);
    } else {
      Deliver(host, std::get<SendToPeer>(effect));
    }
  }

  void OnCancel(int host, AttemptId attempt) {
    network_->Cancel(GlobalAttemptId(host, attempt));
    network_->events().After(kLocalDistance, [this, host, attempt] {
      Input(host, [&](Router& router) {
        router.OnAttemptEvent(CurrentTime(), attempt, AttemptFailed{true});
      });
    });
  }

  void Deliver(int host, SendToPeer& send) {
    const auto number = send.to.str().substr(5);
    const int to = std::stoi(number);
    const bool local = network_->DomainOfEntry(host) == network_->DomainOfEntry(to);
    const Duration delay = local ? kLocalDistance : network_->deployment().distance;
    network_->events().After(delay, [this, host, to, message = std::move(send.message)] {
      Input(to,
            [&](Router& router) { router.OnPeerMessage(CurrentTime(), Member(host), message); });
    });
  }

  void OnEnd(std::uint64_t id, int host, AttemptEnd end) {
    const AttemptId attempt{id % kAttemptsPerHost};
    AttemptEvent event = AttemptAnswered{Response{200, {}, nullptr}};
    if (end != AttemptEnd::kAnswered) {
      event = AttemptFailed{end == AttemptEnd::kReset};
    }
    Input(host,
          [&](Router& router) { router.OnAttemptEvent(CurrentTime(), attempt, std::move(event)); });
  }

  Network* network_;
  Random random_;
  std::vector<Host> hosts_;
  std::unordered_map<std::string, MemberId> owners_;
};

}  // namespace cactusshelf::bench

#endif  // CACTUSSHELF_CONNECTION_BENCH_ROUTER_POLICY_H_
