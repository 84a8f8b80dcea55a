#include "entry_node_impl.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <type_traits>
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

// The certificate of a retirement counts on these bounds, so no process may exceed them.
NodeOptions Checked(NodeOptions options) {
  if (options.authority_lease > kAuthorityLease) {
    throw SettingsError("authority_lease exceeds the bound that retirement certificates assume");
  }
  if (options.max_request_timeout > kLongestRequestTimeout) {
    throw SettingsError(
        "max_request_timeout exceeds the bound that retirement certificates assume");
  }
  return options;
}

RouterOptions MakeRouterOptions(const NodeOptions& options) {
  RouterOptions result;
  result.longest_timeout = options.max_request_timeout;
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
    : options_(Checked(std::move(options))),
      self_(MakeMemberId(options_)),
      random_(seed),
      snapshots_(options_.log_retention, Random(random_.Next())),
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
  Log(LogEvent(LogLevel::kInfo, "node_started").With("member", self_.str()));
  Advance(now);
}

void EntryNode::Impl::Handle(const Now& now, const NodeEvent& event) {
  if (phase_ == Phase::kStopped) {
    return;
  }
  now_ = now;
  membership_.SetStatus(now.monotonic, state());
  AdvanceAuthority(now);
  std::visit([&](const auto& it) { On(now, it); }, event);
  Advance(now);
}

std::vector<NodeEffect> EntryNode::Impl::TakeEffects() { return std::exchange(effects_, {}); }

// Requests.

void EntryNode::Impl::On(const Now& now, const node_event::CallerRequest& event) {
  if (phase_ == Phase::kServing || phase_ == Phase::kDraining) {
    gateway_.OnRequest(now, event, *state().configuration());
  } else {
    gateway_.Refuse(event.token, "not_ready");
  }
}

void EntryNode::Impl::On(const Now& now, const node_event::CallerGone& event) {
  gateway_.OnCallerGone(now, event.token);
}

void EntryNode::Impl::On(const Now& now, const node_event::AttemptSent& event) {
  gateway_.OnAttemptSent(now, event.token);
}

void EntryNode::Impl::On(const Now& now, const node_event::AttemptAnswered& event) {
  gateway_.OnAttemptAnswered(now, event);
}

void EntryNode::Impl::On(const Now& now, const node_event::AttemptFailed& event) {
  gateway_.OnAttemptFailed(now, event);
}

void EntryNode::Impl::On(const Now& now, const node_event::EffectExpired& event) {
  if (const auto* attempt = std::get_if<AttemptToken>(&event.token)) {
    gateway_.OnAttemptFailed(now, {*attempt, node_event::AttemptFailure::kTimeout, false});
  } else {
    cells_.OnWorkerFailed(now, std::get<WorkerCallToken>(event.token));
  }
}

// The log.

void EntryNode::Impl::On(const Now& now, const node_event::LogRead& event) {
  const bool was_loaded = reader_.loaded();
  const LogReader::Result result = reader_.OnRead(now.monotonic, event, ApplyTo(now));
  if (!result.fault.empty()) {
    Log(LogEvent(LogLevel::kError, "log_unusable").With("reason", result.fault));
  }
  if (was_loaded && result.skipped) {
    OnRecordsSkipped(now);
  }
  if (!was_loaded && reader_.loaded()) {
    ApplyAll(now);
  }
  if (result.reached_end) {
    membership_.OnLogRead(event.started);
  }
}

void EntryNode::Impl::On(const Now& now, const node_event::LogReadFailed& event) {
  reader_.OnReadFailed(now.monotonic);
  Log(LogEvent(LogLevel::kWarning, "log_read_failed").With("reason", event.reason));
}

void EntryNode::Impl::On(const Now& now, const node_event::AppendDone& event) {
  const auto record = appender_.OnDone(now.monotonic, event.token);
  if (record && phase_ == Phase::kLeaving && std::holds_alternative<Leave>(*record)) {
    Stop(exit_code_);
  }
}

void EntryNode::Impl::On(const Now& now, const node_event::AppendFailed& event) {
  appender_.OnFailed(now.monotonic, event.token);
  Log(LogEvent(LogLevel::kWarning, "log_append_failed").With("reason", event.reason));
}

// Until the end of the log was reached once, records change only the folded state.
LogReader::OnApplied EntryNode::Impl::ApplyTo(const Now& now) {
  return [this, now](const LogFollower::Applied& applied) {
    if (reader_.loaded()) {
      ApplyChange(now, applied);
    }
  };
}

void EntryNode::Impl::ApplyChange(const Now& now, const LogFollower::Applied& applied) {
  LogChangeEvent(applied);
  if (std::holds_alternative<PublishAccepted>(applied.change)) {
    ApplyConfiguration(now);
  } else if (std::holds_alternative<MemberJoined>(applied.change)) {
    ApplyMembers(now, {}, true);
  } else if (const auto* gone = std::get_if<MemberGone>(&applied.change)) {
    const auto kind = gone->remove ? DepartureKind::kRemoved : DepartureKind::kLeft;
    const Member member{gone->member.id, gone->member.domain, gone->member.join_offset};
    ApplyMembers(now, {{member, kind}}, true);
  } else if (const auto* jobs = std::get_if<JobsChanged>(&applied.change)) {
    cells_.OnJobs(now, state(), jobs->updates);
  } else if (std::holds_alternative<SnapshotSeen>(applied.change)) {
    appender_.DropWaiting(
        [](const LogRecord& record) { return std::holds_alternative<SnapshotRecord>(record); });
  }
}

void EntryNode::Impl::ApplyAll(const Now& now) {
  ApplyMembers(now, {}, false);
  ApplyConfiguration(now);
}

// Without the skipped records, this member cannot tell in which order members and services
// changed, and so not what it holds. It ends and starts again as a new member.
void EntryNode::Impl::OnRecordsSkipped(const Now& now) {
  Log(LogEvent(LogLevel::kError, "log_trimmed_past_this_member"));
  ApplyAll(now);
  if (phase_ == Phase::kServing) {
    records_skipped_ = true;
    phase_ = Phase::kDraining;
    gateway_.router().StartDraining(now);
  }
}

void EntryNode::Impl::ApplyMembers(const Now& now, std::vector<Departure> departures,
                                   bool complete) {
  membership_.OnMembersChanged(now.monotonic, state(), std::move(departures), complete);
  std::vector<RouterMember> members;
  for (const auto& [id, member] : state().members()) {
    members.push_back({id, member.domain});
  }
  gateway_.router().SetMembers(now, members);
  UpdateCells(now);
}

void EntryNode::Impl::ApplyConfiguration(const Now& now) {
  const Configuration& configuration = *state().configuration();
  for (const auto& [customer, open] : state().retirements().cases()) {
    gateway_.router().SetCustomerRetired(now, customer);
  }
  gateway_.router().ApplyServices(now, BuildRoutingTable(configuration, options_.links));
  RefreshLeavingEndpoints(now);
  UpdateCells(now);
  cells_.OnConfiguration(now, state());
}

void EntryNode::Impl::LogChangeEvent(const LogFollower::Applied& applied) {
  const auto offset = applied.offset;
  if (const auto* accepted = std::get_if<PublishAccepted>(&applied.change)) {
    Log(LogEvent(LogLevel::kInfo, "configuration_in_force")
            .With("revision", accepted->revision)
            .With("publication", accepted->publication_id));
  } else if (const auto* refused = std::get_if<RecordRefused>(&applied.change)) {
    Log(LogEvent(LogLevel::kWarning, "record_refused")
            .With("offset", offset)
            .With("reason", refused->reason)
            .With("detail", refused->detail));
  } else if (const auto* joined = std::get_if<MemberJoined>(&applied.change)) {
    Log(LogEvent(LogLevel::kInfo, "member_joined").With("member", joined->member.id.str()));
  } else if (const auto* gone = std::get_if<MemberGone>(&applied.change)) {
    Log(LogEvent(LogLevel::kInfo, gone->remove ? "member_removed" : "member_left")
            .With("member", gone->member.id.str()));
  } else if (const auto* attested = std::get_if<Attested>(&applied.change)) {
    Log(LogEvent(LogLevel::kInfo, attested->complete ? "retirement_complete" : "attested")
            .With("customer", attested->customer.str()));
  }
}

// Hosts.

void EntryNode::Impl::On(const Now& now, const node_event::HostsRead& event) {
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

void EntryNode::Impl::On(const Now& /*now*/, const node_event::HostsReadFailed& event) {
  hosts_read_pending_ = false;
  counters_.Add("cactusshelf_host_list_reads_total", "failed");
  Log(LogEvent(LogLevel::kWarning, "host_list_read_failed").With("reason", event.reason));
}

void EntryNode::Impl::RefreshLeavingEndpoints(const Now& now) {
  for (const EndpointId& it : EndpointsOnHosts(*state().configuration(), leaving_hosts_)) {
    gateway_.router().SetEndpointLeaving(now, it);
  }
}

// Peers.

void EntryNode::Impl::On(const Now& now, const node_event::PeerMessage& event) {
  try {
    OnEnvelope(now, DecodePeerEnvelope(event.bytes));
  } catch (const DecodeError& ec) {
    counters_.Add("cactusshelf_peer_messages_refused_total", "undecodable");
    Log(LogEvent(LogLevel::kWarning, "peer_message_refused").With("reason", ec.what()));
  }
}

void EntryNode::Impl::OnEnvelope(const Now& now, PeerEnvelope envelope) {
  // A process that restarted at the same address is another member.
  if (!envelope.to.empty() && envelope.to != self_) {
    counters_.Add("cactusshelf_peer_messages_refused_total", "other_member");
    return;
  }
  if (auto* router = std::get_if<RouterMessage>(&envelope.payload)) {
    OnRouterMessage(now, envelope.from, std::move(*router));
  } else if (const auto* membership = std::get_if<MembershipMessage>(&envelope.payload)) {
    OnMembershipMessage(now, envelope.from, *membership);
  } else if (const auto* request = std::get_if<CatchUp>(&envelope.payload)) {
    OnCatchUp(envelope.from, *request);
  } else {
    const bool was_loaded = reader_.loaded();
    const auto result =
        reader_.OnCatchUpReply(std::get<CatchUpReply>(envelope.payload), ApplyTo(now));
    if (!result.fault.empty()) {
      Log(LogEvent(LogLevel::kWarning, "catch_up_refused")
              .With("from", envelope.from.str())
              .With("reason", result.fault));
    }
    if (was_loaded && result.skipped) {
      OnRecordsSkipped(now);
    }
  }
}

void EntryNode::Impl::OnRouterMessage(const Now& now, const MemberId& from, RouterMessage message) {
  if (!state().members().contains(from)) {
    counters_.Add("cactusshelf_peer_messages_refused_total", "not_a_member");
    return;
  }
  gateway_.router().OnPeerMessage(now, from, std::move(message));
}

void EntryNode::Impl::OnMembershipMessage(const Now& now, const MemberId& from,
                                          const MembershipMessage& message) {
  OfferCatchUp(now, from, message);
  CollectMembership(now, membership_.OnMessage(now.monotonic, message));
  // A peer's epoch can begin a tenure.
  UpdateCells(now);
}

void EntryNode::Impl::OfferCatchUp(const Now& now, const MemberId& from,
                                   const MembershipMessage& message) {
  std::optional<Offset> offset;
  if (const auto* ping = std::get_if<Ping>(&message)) {
    offset = ping->gossip.status.log_offset;
  } else if (const auto* ack = std::get_if<Ack>(&message)) {
    offset = ack->gossip.status.log_offset;
  }
  if (offset && options_.protections.catch_up_from_peers &&
      reader_.WantsCatchUp(now.monotonic, *offset)) {
    SendTo(from, CatchUp{state().offset(), options_.peer_address});
  }
}

void EntryNode::Impl::OnCatchUp(const MemberId& from, const CatchUp& request) {
  if (!reader_.loaded()) {
    return;
  }
  CatchUpReply reply = reader_.Answer(request);
  counters_.Add("cactusshelf_catch_up_total", "answered");
  SendToAddress(request.reply_to, from, std::move(reply));
}

// A process that never read the log knows no members, so it asks the addresses of its settings.
void EntryNode::Impl::AskSeedPeers(const Now& now) {
  if (phase_ != Phase::kLoading || options_.seed_peers.empty() ||
      now.monotonic < next_seed_query_) {
    return;
  }
  next_seed_query_ = now.monotonic + LogReader::kCatchUpAfter;
  const std::string& address = options_.seed_peers[random_.Below(options_.seed_peers.size())];
  if (address != options_.peer_address) {
    SendToAddress(address, MemberId(), CatchUp{state().offset(), options_.peer_address});
  }
}

void EntryNode::Impl::SendTo(const MemberId& to, PeerPayload payload) {
  const auto it = state().members().find(to);
  if (it == state().members().end()) {
    counters_.Add("cactusshelf_peer_messages_refused_total", "unknown_receiver");
    return;
  }
  SendToAddress(it->second.peer_address, to, std::move(payload));
}

void EntryNode::Impl::SendToAddress(const std::string& address, const MemberId& to,
                                    PeerPayload payload) {
  std::string bytes = EncodePeerEnvelope({self_, to, std::move(payload)});
  counters_.Add("cactusshelf_peer_bytes_total", "sent", bytes.size());
  effects_.emplace_back(node_effect::SendToPeer{address, std::move(bytes)});
}

// Workers.

void EntryNode::Impl::On(const Now& now, const node_event::WorkerAnswered& event) {
  cells_.OnWorkerAnswered(now, event);
}

void EntryNode::Impl::On(const Now& now, const node_event::WorkerFailed& event) {
  cells_.OnWorkerFailed(now, event.token);
}

// Time and stops.

void EntryNode::Impl::On(const Now& now, const node_event::Timer& /*event*/) {
  if (membership_.NextWakeup() <= now.monotonic && IsMember()) {
    CollectMembership(now, membership_.OnTimer(now.monotonic));
  }
  const auto router_wakeup = gateway_.router().NextWakeup();
  if (router_wakeup && *router_wakeup <= now.monotonic) {
    gateway_.router().OnTimer(now);
  }
  cells_.OnTimer(now);
  if (now.monotonic >= next_tick_) {
    next_tick_ = now.monotonic + kTick;
    // A tenure can begin by the passing of time.
    UpdateCells(now);
  }
}

// After it gave up its cells to leave, a member takes none again.
void EntryNode::Impl::UpdateCells(const Now& now) {
  if (phase_ == Phase::kServing || phase_ == Phase::kDraining) {
    cells_.UpdateOwnership(now, state(), membership_);
  }
}

void EntryNode::Impl::On(const Now& now, const node_event::DrainRequested& /*event*/) {
  if (phase_ == Phase::kLoading || phase_ == Phase::kJoining) {
    // A join that is still under way is undone by the others, as for a process that died.
    Stop(0);
    return;
  }
  if (phase_ != Phase::kServing) {
    return;
  }
  Log(LogEvent(LogLevel::kInfo, "draining").With("in_flight", gateway_.router().in_flight()));
  phase_ = Phase::kDraining;
  gateway_.router().StartDraining(now);
}

// Effects.

void EntryNode::Impl::Advance(const Now& now) {
  if (phase_ == Phase::kStopped) {
    return;
  }
  AdvancePhase(now);
  AdvanceAuthority(now);
  AdvanceRecords(now);
  CollectRequests(now);
  for (auto& it : cells_.TakeCalls(now)) {
    effects_.emplace_back(std::move(it));
  }
  AdvanceReads(now);
}

void EntryNode::Impl::AdvanceAuthority(const Now& now) {
  const bool acts = phase_ == Phase::kServing || phase_ == Phase::kDraining;
  const std::optional<Time> until = membership_.AuthorityUntil(now.monotonic);
  const Time valid_until = acts && until ? *until : now.monotonic;
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
        Log(LogEvent(LogLevel::kInfo, "serving").With("member", self_.str()));
      } else if (now.monotonic >= next_join_ && appender_.idle()) {
        RequestJoin(now);
      }
      break;
    case Phase::kServing:
      if (!IsMember()) {
        Log(LogEvent(LogLevel::kError, "removed_by_others").With("member", self_.str()));
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
        Log(LogEvent(LogLevel::kWarning, "leave_not_recorded"));
        Stop(exit_code_);
      }
      break;
    case Phase::kStopped:
      break;
  }
}

// A join that has not applied the latest retirement is refused, so it is repeated with the offset
// reached since.
void EntryNode::Impl::RequestJoin(const Now& now) {
  next_join_ = now.monotonic + kJoinRepeat;
  appender_.Add(Join{self_, options_.incarnation, options_.domain, options_.peer_address,
                     options_.http_address, state().offset()});
}

// Once nothing is in flight, the slots are handed over for a limited time only: the others get them
// in any case when the requests of this member would have ended.
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
  // After the leave record a successor acts at once, so this member must not act any more.
  phase_ = Phase::kLeaving;
  leave_deadline_ = now.monotonic + kLeaveTimeout;
  cells_.Stop(now);
  appender_.Add(Leave{self_});
}

void EntryNode::Impl::Stop(int exit_code) {
  phase_ = Phase::kStopped;
  effects_.emplace_back(node_effect::Stop{exit_code});
}

void EntryNode::Impl::AdvanceRecords(const Now& now) {
  const bool acts = IsMember() && (phase_ == Phase::kServing || phase_ == Phase::kDraining);
  if (acts) {
    for (Remove& it : membership_.RemovalsDue(now.monotonic)) {
      Log(LogEvent(LogLevel::kWarning, "removing_member").With("member", it.member.str()));
      appender_.Add(std::move(it));
    }
    for (Attest& it : attester_.Poll(now, state())) {
      appender_.Add(std::move(it));
    }
    if (snapshots_.Poll(now, state())) {
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

void EntryNode::Impl::AdvanceReads(const Now& now) {
  if (auto read = reader_.Poll(now.monotonic)) {
    effects_.emplace_back(*read);
  }
  if (!hosts_read_pending_ && now.monotonic >= next_hosts_read_) {
    hosts_read_pending_ = true;
    next_hosts_read_ = now.monotonic + options_.host_list_period;
    effects_.emplace_back(node_effect::ReadHosts{});
  }
  AskSeedPeers(now);
}

void EntryNode::Impl::CollectMembership(const Now& now, MembershipView::Effects effects) {
  for (OutgoingMessage& it : effects.messages) {
    SendTo(it.to, std::move(it.message));
  }
  for (const MemberStateChange& it : effects.changes) {
    const bool alive = it.state == MemberState::kAlive;
    const char* name = alive                                 ? "member_alive"
                       : it.state == MemberState::kSuspected ? "member_suspected"
                                                             : "member_dead";
    Log(LogEvent(alive ? LogLevel::kInfo : LogLevel::kWarning, name)
            .With("member", it.member.str()));
  }
  for (const EndpointId& it : effects.leaving_endpoints) {
    gateway_.router().SetEndpointLeaving(now, it);
  }
}

void EntryNode::Impl::CollectRequests(const Now& now) {
  std::vector<SendToPeer> to_peers;
  auto effects = gateway_.TakeEffects(now, to_peers);
  std::ranges::move(effects, std::back_inserter(effects_));
  for (SendToPeer& it : to_peers) {
    if (!it.valid_until || now.monotonic < *it.valid_until) {
      SendTo(it.to, std::move(it.message));
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

void EntryNode::Impl::Log(LogEvent event) {
  effects_.emplace_back(node_effect::WriteLogEvent{std::move(event)});
}

}  // namespace cactusshelf
