#include "entry_node_impl.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/version/retirement.h"
#include "cactusshelf/version/snapshot.h"
#include "routing_table_builder.h"

namespace cactusshelf {
namespace {

MemberId MakeMemberId(const NodeOptions& options) {
  return MemberId(options.host_name + "/" + std::to_string(options.incarnation));
}

// Rejects settings that exceed the bounds on which retirement certificates rely.
NodeOptions ValidateOptions(NodeOptions options) {
  if (options.authority_lease > kAuthorityLease) {
    throw SettingsError("authority_lease exceeds the limit on which retirement certificates rely");
  }
  if (options.max_request_timeout > kMaxRequestTimeout) {
    throw SettingsError(
        "max_request_timeout exceeds the limit on which retirement certificates rely");
  }
  return options;
}

RouterOptions MakeRouterOptions(const NodeOptions& options) {
  RouterOptions result;
  result.max_request_timeout = options.max_request_timeout;
  result.max_clock_skew = options.max_clock_skew;
  result.claim_window = options.claim_window;
  return result;
}

CellOptions MakeCellOptions(const NodeOptions& options) {
  CellOptions result;
  result.weights = {options.tail_latency_weight, options.eviction_weight,
                    options.throughput_weight};
  result.task_lease = options.task_lease;
  return result;
}

}  // namespace

EntryNode::Impl::Impl(NodeOptions options, std::uint64_t seed)
    : options_(ValidateOptions(std::move(options))),
      self_(MakeMemberId(options_)),
      random_(seed),
      snapshot_trigger_(options_.log_retention, Random(random_.Next())),
      membership_(self_, {options_.authority_lease, options_.gossip_period}, Random(random_.Next()),
                  Time{}),
      gateway_(Router(
          MakeRouterOptions(options_), self_, options_.domain,
          [this](std::string_view key) { return membership_.OwnerOf(key, now_); },
          Random(random_.Next()))),
      cells_(self_, MakeCellOptions(options_), Random(random_.Next())),
      attester_(self_, {[this](const CustomerId& customer) {
                          return options_.protections.attest_only_when_idle
                                     ? gateway_.router().in_flight(customer)
                                     : 0;
                        },
                        [this](const CellId& cell, const CustomerId& customer, Offset epoch) {
                          return cells_.CellEvidence(now_, cell, customer, epoch, membership_);
                        }}) {}

void EntryNode::Impl::Start(const Now& now) {
  now_ = now;
  EmitLogEvent(LogEvent(LogLevel::kInfo, "node_started").With("member", self_.str()));
  Advance(now);
}

void EntryNode::Impl::Handle(const Now& now, const NodeEvent& event) {
  if (phase_ == Phase::kStopped) {
    return;
  }
  now_ = now;
  membership_.SetStatus(now.monotonic, state());
  UpdateAuthority(now);
  std::visit([&](const auto& it) { HandleEvent(now, it); }, event);
  Advance(now);
}

std::vector<NodeEffect> EntryNode::Impl::TakeEffects() { return std::exchange(effects_, {}); }

// Requests.

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::CallerRequest& event) {
  if (phase_ == Phase::kServing || phase_ == Phase::kDraining) {
    gateway_.OnRequest(now, event, *state().configuration());
  } else {
    gateway_.Refuse(event.token, "not_ready");
  }
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::CallerDisconnected& event) {
  gateway_.OnCallerDisconnected(now, event.token);
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::AttemptSent& event) {
  gateway_.OnAttemptSent(now, event.token);
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::AttemptAnswered& event) {
  gateway_.OnAttemptAnswered(now, event);
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::AttemptFailed& event) {
  gateway_.OnAttemptFailed(now, event);
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::EffectExpired& event) {
  if (const auto* attempt = std::get_if<AttemptToken>(&event.token)) {
    gateway_.OnAttemptFailed(now, {*attempt, node_event::AttemptFailure::kTimeout, false});
  } else {
    cells_.OnWorkerFailed(now, std::get<WorkerCallToken>(event.token));
  }
}

// Hosts and workers.

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::HostsRead& event) {
  hosts_read_pending_ = false;
  std::set<std::string> hosts;
  leaving_hosts_.clear();
  for (const node_event::HostEntry& it : event.hosts) {
    hosts.insert(it.name);
    if (it.state == node_event::HostState::kLeaving) {
      leaving_hosts_.insert(it.name);
    }
  }
  membership_.OnHostList(now.monotonic, std::move(hosts));
  RefreshLeavingEndpoints(now);
}

void EntryNode::Impl::HandleEvent(const Now& /*now*/, const node_event::HostsReadFailed& event) {
  hosts_read_pending_ = false;
  counters_.Add("cactusshelf_host_list_reads_total", "failed");
  EmitLogEvent(LogEvent(LogLevel::kWarning, "host_list_read_failed").With("reason", event.reason));
}

void EntryNode::Impl::RefreshLeavingEndpoints(const Now& now) {
  for (const EndpointId& it : EndpointsOnHosts(*state().configuration(), leaving_hosts_)) {
    gateway_.router().SetEndpointLeaving(now, it);
  }
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::WorkerAnswered& event) {
  cells_.OnWorkerAnswered(now, event);
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::WorkerFailed& event) {
  cells_.OnWorkerFailed(now, event.token);
}

// Timers and graceful stop.

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::Timer& /*event*/) {
  if (membership_.NextWakeup() <= now.monotonic && IsMember()) {
    CollectMembershipEffects(now, membership_.OnTimer(now.monotonic));
  }
  const auto router_wakeup = gateway_.router().NextWakeup();
  if (router_wakeup && *router_wakeup <= now.monotonic) {
    gateway_.router().OnTimer(now);
  }
  cells_.OnTimer(now);
  if (now.monotonic >= next_tick_) {
    next_tick_ = now.monotonic + kTickInterval;
    // An ownership can begin when a waiting period ends, without any other event.
    UpdateCells(now);
  }
}

// Does nothing while leaving: a member that has released its cells must not acquire them again.
void EntryNode::Impl::UpdateCells(const Now& now) {
  if (phase_ == Phase::kServing || phase_ == Phase::kDraining) {
    cells_.UpdateOwnership(now, state(), membership_);
  }
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::DrainRequested& /*event*/) {
  if (phase_ == Phase::kLoading || phase_ == Phase::kJoining) {
    // If a join record is still being appended, the other members remove this member as they would
    // remove a crashed process.
    Stop(0);
    return;
  }
  if (phase_ != Phase::kServing) {
    return;
  }
  EmitLogEvent(
      LogEvent(LogLevel::kInfo, "draining").With("in_flight", gateway_.router().in_flight()));
  phase_ = Phase::kDraining;
  gateway_.router().StartDraining(now);
}

// Effects.

void EntryNode::Impl::Advance(const Now& now) {
  if (phase_ == Phase::kStopped) {
    return;
  }
  AdvancePhase(now);
  UpdateAuthority(now);
  AppendDueRecords(now);
  CollectRequestEffects(now);
  for (auto& it : cells_.TakeCalls()) {
    effects_.emplace_back(std::move(it));
  }
  StartDueReads(now);
}

void EntryNode::Impl::UpdateAuthority(const Now& now) {
  const bool active = phase_ == Phase::kServing || phase_ == Phase::kDraining;
  const std::optional<Time> until = membership_.AuthorityUntil(now.monotonic);
  const Time valid_until = active && until ? *until : now.monotonic;
  gateway_.router().SetAuthority(now, valid_until);
  cells_.SetAuthority(now, valid_until);
}

void EntryNode::Impl::AdvancePhase(const Now& now) {
  switch (phase_) {
    case Phase::kLoading:
      if (reader_.loaded()) {
        phase_ = Phase::kJoining;
        RequestJoin(now);
      }
      break;
    case Phase::kJoining:
      if (IsMember()) {
        phase_ = Phase::kServing;
        EmitLogEvent(LogEvent(LogLevel::kInfo, "serving").With("member", self_.str()));
      } else if (now.monotonic >= next_join_retry_ && appender_.idle()) {
        RequestJoin(now);
      }
      break;
    case Phase::kServing:
      if (!IsMember()) {
        EmitLogEvent(LogEvent(LogLevel::kError, "removed_by_others").With("member", self_.str()));
        phase_ = Phase::kDraining;
        gateway_.router().StartDraining(now);
      }
      break;
    case Phase::kDraining:
      if (IsDrained(now)) {
        FinishDraining(now);
      }
      break;
    case Phase::kLeaving:
      if (now.monotonic >= leave_deadline_) {
        EmitLogEvent(LogEvent(LogLevel::kWarning, "leave_not_recorded"));
        Stop(exit_code_);
      }
      break;
    case Phase::kStopped:
      break;
  }
}

// The fold refuses a join whose offset precedes the latest retirement, so a retried join carries
// the current offset.
void EntryNode::Impl::RequestJoin(const Now& now) {
  next_join_retry_ = now.monotonic + kJoinRetryInterval;
  appender_.Add(Join{self_, options_.incarnation, options_.domain, options_.peer_address,
                     options_.http_address, state().offset()});
}

// Once no request is in flight, the handover of slots is limited to kHandoverTimeout. The other
// members obtain the slots in any case after the longest time that requests of this member can
// take.
bool EntryNode::Impl::IsDrained(const Now& now) {
  if (!options_.protections.finish_before_stop) {
    return true;
  }
  const Router& router = gateway_.router();
  if (router.in_flight() != 0) {
    return false;
  }
  if (!handover_deadline_) {
    handover_deadline_ = now.monotonic + kHandoverTimeout;
  }
  return router.drained() || now.monotonic >= *handover_deadline_;
}

void EntryNode::Impl::FinishDraining(const Now& now) {
  if (!IsMember()) {
    Stop(node_effect::kExitRemoved);
    return;
  }
  exit_code_ = records_skipped_ ? node_effect::kExitRemoved : 0;
  // A successor acts as owner as soon as it applies the leave record, so this member stops acting
  // before it appends the record.
  phase_ = Phase::kLeaving;
  leave_deadline_ = now.monotonic + kLeaveTimeout;
  cells_.Stop(now);
  appender_.Add(Leave{self_});
}

void EntryNode::Impl::Stop(int exit_code) {
  phase_ = Phase::kStopped;
  effects_.emplace_back(node_effect::Stop{exit_code});
}

void EntryNode::Impl::AppendDueRecords(const Now& now) {
  const bool active = IsMember() && (phase_ == Phase::kServing || phase_ == Phase::kDraining);
  if (active) {
    for (Remove& it : membership_.RemovalsDue(now.monotonic)) {
      EmitLogEvent(LogEvent(LogLevel::kWarning, "removing_member").With("member", it.member.str()));
      appender_.Add(std::move(it));
    }
    for (Attest& it : attester_.Poll(now, state())) {
      appender_.Add(std::move(it));
    }
    if (snapshot_trigger_.Poll(now, state())) {
      appender_.Add(Snapshot::Record(state(), self_));
    }
    auto updates = cells_.TakeUpdates();
    if (!updates.empty()) {
      appender_.Add(Jobs{self_, std::move(updates)});
    }
  }
  if (auto append = appender_.Poll(now.monotonic)) {
    effects_.emplace_back(std::move(*append));
  }
}

void EntryNode::Impl::StartDueReads(const Now& now) {
  if (auto read = reader_.Poll(now.monotonic)) {
    effects_.emplace_back(*read);
  }
  if (!hosts_read_pending_ && now.monotonic >= next_hosts_read_) {
    hosts_read_pending_ = true;
    next_hosts_read_ = now.monotonic + options_.host_list_period;
    effects_.emplace_back(node_effect::ReadHosts{});
  }
  RequestCatchUpFromSeedPeer(now);
}

void EntryNode::Impl::CollectMembershipEffects(const Now& now, MembershipView::Effects effects) {
  for (OutgoingMessage& it : effects.messages) {
    SendToMember(it.to, std::move(it.message));
  }
  for (const MemberStateChange& it : effects.changes) {
    const bool alive = it.state == MemberState::kAlive;
    const char* name = alive                                 ? "member_alive"
                       : it.state == MemberState::kSuspected ? "member_suspected"
                                                             : "member_dead";
    EmitLogEvent(LogEvent(alive ? LogLevel::kInfo : LogLevel::kWarning, name)
                     .With("member", it.member.str()));
  }
  for (const EndpointId& it : effects.leaving_endpoints) {
    gateway_.router().SetEndpointLeaving(now, it);
  }
}

void EntryNode::Impl::CollectRequestEffects(const Now& now) {
  std::vector<SendToPeer> to_peers;
  auto effects = gateway_.TakeEffects(now, to_peers);
  std::ranges::move(effects, std::back_inserter(effects_));
  for (SendToPeer& it : to_peers) {
    if (!it.valid_until || now.monotonic < *it.valid_until) {
      SendToMember(it.to, std::move(it.message));
    }
  }
}

std::optional<Time> EntryNode::Impl::NextWakeup() const {
  if (phase_ == Phase::kStopped) {
    return std::nullopt;
  }
  Time next = next_tick_;
  const auto consider = [&next](std::optional<Time> time) {
    if (time && *time < next) {
      next = *time;
    }
  };
  consider(gateway_.router().NextWakeup());
  consider(cells_.NextWakeup());
  consider(appender_.NextWakeup());
  consider(reader_.NextWakeup());
  if (IsMember()) {
    consider(membership_.NextWakeup());
  }
  return next;
}

void EntryNode::Impl::EmitLogEvent(LogEvent event) {
  effects_.emplace_back(node_effect::WriteLogEvent{std::move(event)});
}

}  // namespace cactusshelf
