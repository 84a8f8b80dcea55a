#include "fake_cluster.h"

#include <algorithm>

#include "cactusshelf/base/rendezvous.h"

namespace cactusshelf {

namespace {

using std::chrono::milliseconds;

constexpr WallTime kWallClockStart{milliseconds(1'800'000'000'000)};
constexpr Duration kNetworkDelay = milliseconds(1);
constexpr Duration kAuthorityDuration = std::chrono::seconds(2);
constexpr Duration kTakeoverDelay = milliseconds(2100);
constexpr Duration kFailureDetectionDelay = std::chrono::seconds(1);
constexpr Duration kMaxMemberListLag = milliseconds(300);
constexpr Duration kSettleTime = milliseconds(600);

EndpointId EndpointName(int n) { return EndpointId("notices/10.0.0." + std::to_string(n)); }
int EndpointNumber(const EndpointId& id) { return std::stoi(id.str().substr(15)); }
DomainId DomainName(int n) { return DomainId("d" + std::to_string(n)); }
std::string ExpectedBody(const std::string& id) { return "answer to " + id; }

RoutingTable TableOf(const ClusterOptions& options) {
  RoutingTable table;
  ServiceEntry service{
      ServiceId("notices"), CustomerId("owner"), options.slots, 64, options.deadline, {}};
  for (int i = 0; i < options.endpoints; ++i) {
    const EndpointId id = EndpointName(i);
    service.endpoints.push_back({id, id.str().substr(8), DomainName(i % options.domains)});
  }
  table.services.push_back(service);
  for (int i = 0; i < 3; ++i) {
    const std::string name = "c" + std::to_string(i);
    table.customers.push_back({CustomerId(name), i});
    table.accounts.push_back({AccountId("a-" + name), CustomerId(name), 0});
  }
  for (int i = 0; i < options.domains; ++i) {
    for (int j = 0; j < options.domains; ++j) {
      if (i != j) {
        table.links.push_back({DomainName(i), DomainName(j), kNetworkDelay, kNetworkDelay});
      }
    }
  }
  return table;
}

}  // namespace

FakeCluster::FakeCluster(const ClusterOptions& options)
    : options_(options), random_(options_.seed) {
  endpoints_.resize(static_cast<std::size_t>(options_.endpoints));
  for (Endpoint& endpoint : endpoints_) {
    endpoint.service_time = options_.service_time;
  }
  hosts_.resize(static_cast<std::size_t>(options_.hosts));
  for (int i = 0; i < options_.hosts; ++i) {
    Host& host = hosts_[static_cast<std::size_t>(i)];
    host.id = MemberId("host" + std::to_string(i) + "/1");
    host.skew = random_.Between(-options_.clock_skew, options_.clock_skew);
    const DomainId domain = DomainName(i % options_.domains);
    host.router = std::make_unique<Router>(
        options_.router, host.id, domain,
        [this, i](std::string_view key) { return OwnerAt(i, key); }, Random(random_.Next()));
  }
  // The hosts join one after the other, in the order of their log records.
  const RoutingTable table = TableOf(options_);
  for (int i = 0; i < options_.hosts; ++i) {
    members_.push_back({hosts_[static_cast<std::size_t>(i)].id, DomainName(i % options_.domains)});
    for (int j = 0; j <= i; ++j) {
      ApplyMemberView(j, members_, true);
    }
    Input(i, [&](Router& router) { router.ApplyServices(NowAt(i), table); });
    RenewAuthority(i);
    Run(milliseconds(20));
  }
  Run(kSettleTime);
}

Now FakeCluster::NowAt(int host) const {
  const Time now = loop_.now();
  const Duration wall = now.time_since_epoch() + hosts_[static_cast<std::size_t>(host)].skew;
  return Now{now, kWallClockStart + std::chrono::floor<milliseconds>(wall)};
}

RequestId FakeCluster::NewId() {
  const auto wall = std::chrono::floor<milliseconds>(loop_.now().time_since_epoch());
  return RequestId::Make(kWallClockStart + wall, random_);
}

RequestToken FakeCluster::SendRequest(int host, bool idempotent, std::optional<RequestId> id,
                                      std::optional<Duration> timeout,
                                      const std::string& customer) {
  const RequestToken token{next_token_++};
  const RequestId request_id = id ? *id : NewId();
  const Time deadline = loop_.now() + timeout.value_or(options_.deadline);
  callers_.emplace(token, Caller{host, idempotent, false, false, request_id, customer, loop_.now(),
                                 deadline, std::nullopt});
  Request request;
  request.service = ServiceId("notices");
  request.account = AccountId("a-" + customer);
  request.customer = CustomerId(customer);
  request.id = request_id;
  request.idempotent = idempotent;
  request.timeout = timeout;
  request.headers = {{"id", request_id.ToString()}};
  Input(host, [&](Router& r) { r.OnRequest(NowAt(host), token, request); });
  return token;
}

void FakeCluster::DisconnectCaller(int host, RequestToken token) {
  callers_.at(token).disconnected = true;
  Input(host, [&](Router& r) { r.OnCallerDisconnected(NowAt(host), token); });
}

void FakeCluster::Kill(int host) {
  hosts_[static_cast<std::size_t>(host)].alive = false;
  loop_.After(kFailureDetectionDelay, [this, host] { Remove(host); });
}

void FakeCluster::Isolate(int host) {
  hosts_[static_cast<std::size_t>(host)].isolated = true;
  loop_.After(kFailureDetectionDelay, [this, host] { Remove(host); });
}

void FakeCluster::Remove(int host) {
  const MemberId id = hosts_[static_cast<std::size_t>(host)].id;
  std::erase_if(members_, [&](const RouterMember& member) { return member.id == id; });
  const std::vector<RouterMember> members = members_;
  for (int i = 0; i < options_.hosts; ++i) {
    if (i != host && !hosts_[static_cast<std::size_t>(i)].isolated) {
      loop_.After(random_.Between(Duration::zero(), kMaxMemberListLag),
                  [this, i, members] { ApplyMemberView(i, members, false); });
    }
  }
}

void FakeCluster::SetMode(int endpoint, EndpointMode mode) {
  endpoints_[static_cast<std::size_t>(endpoint)].mode = mode;
}

void FakeCluster::SetServiceTime(int endpoint, Duration time) {
  endpoints_[static_cast<std::size_t>(endpoint)].service_time = time;
}

void FakeCluster::SetLeaving(int host, int endpoint) {
  hosts_[static_cast<std::size_t>(host)].leaving.insert(EndpointName(endpoint).str());
  Input(host, [&](Router& r) { r.SetEndpointLeaving(NowAt(host), EndpointName(endpoint)); });
}

void FakeCluster::Retire(const std::string& customer) {
  for (int i = 0; i < options_.hosts; ++i) {
    hosts_[static_cast<std::size_t>(i)].retired.insert(customer);
    Input(i, [&](Router& r) { r.SetCustomerRetired(NowAt(i), CustomerId(customer)); });
  }
}

const CallerAnswer* FakeCluster::AnswerTo(RequestToken token) const {
  const auto& answer = callers_.at(token).answer;
  return answer ? &*answer : nullptr;
}

int FakeCluster::Runs(const RequestId& id) const {
  const auto it = runs_.find(id);
  return it == runs_.end() ? 0 : it->second;
}

std::uint64_t FakeCluster::Sent(int endpoint) const {
  return endpoints_[static_cast<std::size_t>(endpoint)].sent;
}

Counters FakeCluster::TotalCounters() const {
  Counters total;
  for (const Host& host : hosts_) {
    total.Merge(host.router->counters());
  }
  return total;
}

void FakeCluster::CheckAllAnswered() {
  for (const auto& [token, caller] : callers_) {
    const Host& host = hosts_[static_cast<std::size_t>(caller.host)];
    const bool expected =
        host.alive && !caller.answer_lost && !caller.disconnected && caller.deadline < loop_.now();
    if (expected && !caller.answer) {
      violations.push_back("no answer by the deadline");
    }
    const bool not_run = caller.answer && caller.answer->answer.outcome == Outcome::kNotRun;
    if (not_run && token_runs_[token] > 0) {
      violations.push_back("a request ran after its caller was told that it was not run");
    }
  }
}

void FakeCluster::ExecuteEffects(int host) {
  Host& h = hosts_[static_cast<std::size_t>(host)];
  for (RouterEffect& effect : h.router->TakeEffects()) {
    if (const auto* send = std::get_if<SendAttempt>(&effect)) {
      OnSend(host, *send);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
      OnCancel(host, cancel->attempt);
    } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      OnAnswer(host, *answer);
    } else {
      OnMessage(host, std::get<SendToPeer>(effect));
    }
  }
  const std::optional<Time> wakeup = h.router->NextWakeup();
  if (wakeup && (*wakeup < h.wakeup || h.wakeup <= loop_.now())) {
    h.wakeup = *wakeup;
    loop_.At(*wakeup, [this, host] { FireTimer(host); });
  }
}

void FakeCluster::FireTimer(int host) {
  hosts_[static_cast<std::size_t>(host)].wakeup = Time::max();
  Input(host, [&](Router& r) { r.OnTimer(NowAt(host)); });
}

void FakeCluster::OnSend(int host, const SendAttempt& send) {
  const int n = EndpointNumber(send.endpoint);
  Endpoint& endpoint = endpoints_[static_cast<std::size_t>(n)];
  const Host& h = hosts_[static_cast<std::size_t>(host)];
  ++endpoint.sent;
  if (h.leaving.contains(send.endpoint.str())) {
    violations.push_back("sent to a leaving endpoint");
  }
  if (h.retired.contains(callers_.at(send.request).customer)) {
    violations.push_back("sent for a retired customer");
  }
  if (endpoint.mode == EndpointMode::kDead) {
    DeliverEvent(host, send.attempt, kNetworkDelay, AttemptFailed{false});
    return;
  }
  running_[{host, send.attempt}] = RunningAttempt{n, true, false};
  DeliverEvent(host, send.attempt, Duration::zero(), AttemptHandedOver{});
  loop_.After(kNetworkDelay, [this, host, send, n] { RunAttempt(host, send, n); });
}

void FakeCluster::RunAttempt(int host, const SendAttempt& send, int n) {
  Endpoint& endpoint = endpoints_[static_cast<std::size_t>(n)];
  const auto run = running_.find({host, send.attempt});
  if (run == running_.end() || send.deadline <= loop_.now()) {
    DeliverEvent(host, send.attempt, kNetworkDelay, AttemptFailed{true});
    return;
  }
  if (endpoint.mode == EndpointMode::kRefuse) {
    DeliverEvent(host, send.attempt, kNetworkDelay, AttemptRefused{false});
    return;
  }
  const Caller& caller = callers_.at(send.request);
  ++token_runs_[send.request];
  const int runs = ++runs_[caller.id];
  if (!caller.idempotent && runs > 1) {
    violations.push_back("a non-idempotent request ran twice");
  }
  run->second.done = false;
  ++endpoint.running;
  max_concurrent_ = std::max(max_concurrent_, endpoint.running);
  if (endpoint.running > static_cast<int>(options_.slots)) {
    violations.push_back("more slots in use than the endpoint has");
  }
  const EndpointMode mode = endpoint.mode;
  const Duration time = random_.Between(endpoint.service_time / 2, 2 * endpoint.service_time);
  const AttemptKey key{host, send.attempt};
  if (mode != EndpointMode::kHang) {
    loop_.After(time, [this, key, mode, send] {
      const auto it = running_.find(key);
      if (it == running_.end() || it->second.done) {
        return;
      }
      StopRunning(key);
      if (mode == EndpointMode::kClose) {
        DeliverEvent(key.first, key.second, kNetworkDelay, AttemptFailed{true});
      } else if (mode == EndpointMode::kTruncate) {
        DeliverEvent(key.first, key.second, kNetworkDelay, AttemptTruncated{});
      } else {
        const auto body = std::make_shared<const std::string>(ExpectedBody(send.headers[0].value));
        DeliverEvent(key.first, key.second, random_.Between(kNetworkDelay, 2 * kNetworkDelay),
                     AttemptAnswered{Response{200, {}, body}});
      }
    });
  }
  loop_.At(send.deadline, [this, key] { StopRunning(key); });
}

void FakeCluster::StopRunning(const AttemptKey& key) {
  const auto it = running_.find(key);
  if (it == running_.end() || it->second.done) {
    return;
  }
  it->second.done = true;
  --endpoints_[static_cast<std::size_t>(it->second.endpoint)].running;
}

void FakeCluster::DeliverEvent(int host, AttemptId attempt, Duration delay, AttemptEvent event) {
  loop_.After(delay, [this, host, attempt, event] {
    Input(host, [&](Router& r) { r.OnAttemptEvent(NowAt(host), attempt, event); });
  });
}

// Half of the cancelled attempts continue and report their result, as if the answer had already
// been in transit.
void FakeCluster::OnCancel(int host, AttemptId attempt) {
  const AttemptKey key{host, attempt};
  if (random_.Chance(0.5)) {
    return;
  }
  loop_.After(kNetworkDelay, [this, key] {
    StopRunning(key);
    running_.erase(key);
    DeliverEvent(key.first, key.second, kNetworkDelay, AttemptFailed{true});
  });
}

void FakeCluster::OnAnswer(int host, const AnswerCaller& answer) {
  Caller& caller = callers_.at(answer.request);
  if (hosts_[static_cast<std::size_t>(host)].drop_answers) {
    caller.answer_lost = true;
    return;
  }
  if (caller.answer) {
    violations.push_back("a caller was answered twice");
  }
  if (caller.disconnected) {
    violations.push_back("answered a caller that has disconnected");
  }
  if (loop_.now() > caller.deadline) {
    violations.push_back("answered after the deadline");
  }
  caller.answer = CallerAnswer{loop_.now(), caller.sent_at, answer};
  const bool complete =
      answer.body != nullptr && *answer.body == ExpectedBody(caller.id.ToString());
  if (answer.outcome == Outcome::kAnswered && !complete) {
    violations.push_back("a caller received a truncated answer or the answer to another request");
  }
  const int runs = caller.idempotent ? token_runs_[answer.request] : runs_[caller.id];
  if (answer.outcome == Outcome::kNotRun && runs > 0) {
    violations.push_back("a request that ran was answered as not run");
  }
}

void FakeCluster::OnMessage(int host, const SendToPeer& send) {
  const int to = IndexOf(send.to);
  const int copies = random_.Chance(options_.message_duplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (random_.Chance(options_.message_loss)) {
      continue;
    }
    const Duration delay =
        kNetworkDelay + random_.Between(Duration::zero(), options_.message_jitter);
    loop_.After(delay, [this, host, to, send] {
      const bool cut = hosts_[static_cast<std::size_t>(host)].isolated ||
                       hosts_[static_cast<std::size_t>(to)].isolated;
      if (!cut) {
        const MemberId from = hosts_[static_cast<std::size_t>(host)].id;
        Input(to, [&](Router& r) { r.OnPeerMessage(NowAt(to), from, send.message); });
      }
    });
  }
}

void FakeCluster::ApplyMemberView(int host, const std::vector<RouterMember>& members,
                                  bool graceful) {
  Host& h = hosts_[static_cast<std::size_t>(host)];
  const auto wait = graceful ? Duration::zero() : kTakeoverDelay;
  const WallTime ownership_start = NowAt(host).wall + std::chrono::ceil<milliseconds>(wait);
  for (std::uint32_t shard = 0; shard < RequestId::kShards; ++shard) {
    const std::string key = "request/" + std::to_string(shard);
    const auto owner = RendezvousOwner(
        members, key,
        [](const RouterMember& member) -> const std::string& { return member.id.str(); });
    Ownership& known = h.member_view.owners[key];
    if (known.member != owner->id) {
      known = Ownership{owner->id, ownership_start};
    }
  }
  h.member_view.members = members;
  Input(host, [&](Router& r) { r.SetMembers(NowAt(host), members); });
}

std::optional<Ownership> FakeCluster::OwnerAt(int host, std::string_view key) {
  const Host& h = hosts_[static_cast<std::size_t>(host)];
  const auto it = h.member_view.owners.find(std::string(key));
  if (it == h.member_view.owners.end() || NowAt(host).wall < it->second.ownership_start) {
    return std::nullopt;
  }
  return it->second;
}

void FakeCluster::RenewAuthority(int host) {
  if (hosts_[static_cast<std::size_t>(host)].isolated) {
    return;
  }
  Input(host, [&](Router& r) { r.SetAuthority(NowAt(host), loop_.now() + kAuthorityDuration); });
  loop_.After(kAuthorityDuration / 4, [this, host] { RenewAuthority(host); });
}

int FakeCluster::IndexOf(const MemberId& id) const {
  const auto it = std::ranges::find(hosts_, id, &Host::id);
  return static_cast<int>(it - hosts_.begin());
}

}  // namespace cactusshelf
