#include <utility>
#include <variant>

#include "entry_node_impl.h"
#include "routing_table_builder.h"

namespace cactusshelf {

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::LogRead& event) {
  const bool was_loaded = reader_.loaded();
  const LogReader::Result result = reader_.OnRead(now.monotonic, event, MakeAppliedCallback(now));
  if (!result.error.empty()) {
    EmitLogEvent(LogEvent(LogLevel::kError, "log_unusable").With("reason", result.error));
  }
  if (was_loaded && result.records_skipped) {
    OnRecordsSkipped(now);
  }
  if (!was_loaded && reader_.loaded()) {
    ApplyFoldedState(now);
  }
  if (result.reached_end) {
    membership_.OnLogRead(event.started);
  }
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::LogReadFailed& event) {
  reader_.OnReadFailed(now.monotonic);
  EmitLogEvent(LogEvent(LogLevel::kWarning, "log_read_failed").With("reason", event.reason));
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::AppendDone& event) {
  const auto record = appender_.OnDone(now.monotonic, event.token);
  if (record && phase_ == Phase::kLeaving && std::holds_alternative<Leave>(*record)) {
    Stop(exit_code_);
  }
}

void EntryNode::Impl::HandleEvent(const Now& now, const node_event::AppendFailed& event) {
  appender_.OnFailed(now.monotonic, event.token);
  EmitLogEvent(LogEvent(LogLevel::kWarning, "log_append_failed").With("reason", event.reason));
}

// Until the end of the log has been reached once, records change only the fold. The other
// components then get the resulting state from ApplyFoldedState.
LogReader::AppliedCallback EntryNode::Impl::MakeAppliedCallback(const Now& now) {
  return [this, now](const LogFollower::AppliedRecord& applied) {
    if (reader_.loaded()) {
      ApplyChange(now, applied);
    }
  };
}

void EntryNode::Impl::ApplyChange(const Now& now, const LogFollower::AppliedRecord& applied) {
  EmitChangeLogEvent(applied);
  if (std::holds_alternative<PublishAccepted>(applied.change)) {
    ApplyConfiguration(now);
  } else if (std::holds_alternative<MemberJoined>(applied.change)) {
    ApplyMembers(now, {}, true);
  } else if (const auto* departed = std::get_if<MemberDeparted>(&applied.change)) {
    const auto kind = departed->remove ? DepartureKind::kRemoved : DepartureKind::kLeft;
    const Member member{departed->member.id, departed->member.domain, departed->member.join_offset};
    ApplyMembers(now, {{member, kind}}, true);
  } else if (const auto* jobs = std::get_if<JobsChanged>(&applied.change)) {
    cells_.OnJobsChanged(now, state(), jobs->updates);
  } else if (std::holds_alternative<SnapshotCompared>(applied.change)) {
    appender_.RemoveQueued(
        [](const LogRecord& record) { return std::holds_alternative<SnapshotRecord>(record); });
  }
}

void EntryNode::Impl::ApplyFoldedState(const Now& now) {
  ApplyMembers(now, {}, false);
  ApplyConfiguration(now);
}

// Without the skipped records, this member cannot determine the order in which members and services
// changed, and therefore not what it owns. It drains and exits, and is restarted as a new member.
void EntryNode::Impl::OnRecordsSkipped(const Now& now) {
  EmitLogEvent(LogEvent(LogLevel::kError, "log_trimmed_past_this_member"));
  ApplyFoldedState(now);
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
  for (const auto& [customer, retirement] : state().retirements().trackers()) {
    gateway_.router().SetCustomerRetired(now, customer);
  }
  gateway_.router().ApplyServices(now, BuildRoutingTable(configuration, options_.links));
  RefreshLeavingEndpoints(now);
  UpdateCells(now);
  cells_.OnConfiguration(now, state());
}

void EntryNode::Impl::EmitChangeLogEvent(const LogFollower::AppliedRecord& applied) {
  const auto offset = applied.offset;
  if (const auto* accepted = std::get_if<PublishAccepted>(&applied.change)) {
    EmitLogEvent(LogEvent(LogLevel::kInfo, "configuration_in_force")
                     .With("revision", accepted->revision)
                     .With("publication", accepted->publication_id));
  } else if (const auto* refused = std::get_if<RecordRefused>(&applied.change)) {
    EmitLogEvent(LogEvent(LogLevel::kWarning, "record_refused")
                     .With("offset", offset)
                     .With("reason", refused->reason)
                     .With("detail", refused->detail));
  } else if (const auto* joined = std::get_if<MemberJoined>(&applied.change)) {
    EmitLogEvent(
        LogEvent(LogLevel::kInfo, "member_joined").With("member", joined->member.id.str()));
  } else if (const auto* departed = std::get_if<MemberDeparted>(&applied.change)) {
    EmitLogEvent(LogEvent(LogLevel::kInfo, departed->remove ? "member_removed" : "member_left")
                     .With("member", departed->member.id.str()));
  } else if (const auto* attested = std::get_if<Attested>(&applied.change)) {
    EmitLogEvent(LogEvent(LogLevel::kInfo, attested->complete ? "retirement_complete" : "attested")
                     .With("customer", attested->customer.str()));
  }
}

}  // namespace cactusshelf
