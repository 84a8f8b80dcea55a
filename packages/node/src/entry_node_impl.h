#ifndef CACTUSSHELF_NODE_ENTRY_NODE_IMPL_H_
#define CACTUSSHELF_NODE_ENTRY_NODE_IMPL_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/random.h"
#include "cactusshelf/node/entry_node.h"
#include "cell_manager.h"
#include "log_reader.h"
#include "membership_view.h"
#include "peer_codec.h"
#include "record_appender.h"
#include "request_gateway.h"
#include "retirement_attester.h"
#include "snapshot_trigger.h"

namespace cactusshelf {

// Composes the state machines of one entry host. Each call of Handle dispatches one event and then
// runs Advance, which collects the effects of the state machines. Not thread-safe.
class EntryNode::Impl {
 public:
  Impl(NodeOptions options, std::uint64_t seed);

  void Start(const Now& now);
  void Handle(const Now& now, const NodeEvent& event);
  std::vector<NodeEffect> TakeEffects();
  std::optional<Time> NextWakeup() const;
  bool ready() const { return phase_ == Phase::kServing; }
  std::string Status(const Now& now) const;
  std::string Metrics() const;

 private:
  enum class Phase {
    kLoading,  // The log has not been read to its end yet.
    kJoining,  // The join record is not in the log yet.
    kServing,
    kDraining,  // Requests in flight finish and slots are handed over.
    kLeaving,   // The leave record is being appended.
    kStopped,
  };

  // Interval of periodic work that no other timer covers.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(250);
  // Longest wait for the leave record to be appended. After it, the process ends anyway and the
  // other members remove it.
  static constexpr Duration kLeaveTimeout = std::chrono::seconds(5);

  static constexpr Duration kJoinRetryInterval = std::chrono::seconds(2);
  // The handover of slots takes about one lease, which is 2 s.
  static constexpr Duration kHandoverTimeout = std::chrono::seconds(5);

  void HandleEvent(const Now& now, const node_event::CallerRequest& event);
  void HandleEvent(const Now& now, const node_event::CallerDisconnected& event);
  void HandleEvent(const Now& now, const node_event::AttemptSent& event);
  void HandleEvent(const Now& now, const node_event::AttemptAnswered& event);
  void HandleEvent(const Now& now, const node_event::AttemptFailed& event);
  void HandleEvent(const Now& now, const node_event::LogRead& event);
  void HandleEvent(const Now& now, const node_event::LogReadFailed& event);
  void HandleEvent(const Now& now, const node_event::AppendDone& event);
  void HandleEvent(const Now& now, const node_event::AppendFailed& event);
  void HandleEvent(const Now& now, const node_event::HostsRead& event);
  void HandleEvent(const Now& now, const node_event::HostsReadFailed& event);
  void HandleEvent(const Now& now, const node_event::PeerMessage& event);
  void HandleEvent(const Now& now, const node_event::WorkerAnswered& event);
  void HandleEvent(const Now& now, const node_event::WorkerFailed& event);
  void HandleEvent(const Now& now, const node_event::EffectExpired& event);
  void HandleEvent(const Now& now, const node_event::Timer& event);
  void HandleEvent(const Now& now, const node_event::DrainRequested& event);

  // Handling of log records.
  LogReader::AppliedCallback MakeAppliedCallback(const Now& now);
  void ApplyChange(const Now& now, const LogFollower::AppliedRecord& applied);
  void ApplyFoldedState(const Now& now);
  void OnRecordsSkipped(const Now& now);
  void ApplyConfiguration(const Now& now);
  void ApplyMembers(const Now& now, std::vector<Departure> departures, bool complete);
  void EmitChangeLogEvent(const LogFollower::AppliedRecord& applied);
  void RefreshLeavingEndpoints(const Now& now);

  // Handling of messages from peers.
  void OnEnvelope(const Now& now, PeerEnvelope envelope);
  void OnRouterMessage(const Now& now, const MemberId& from, RouterMessage message);
  void OnMembershipMessage(const Now& now, const MemberId& from, const MembershipMessage& message);
  void OnCatchUpRequest(const MemberId& from, const CatchUpRequest& request);
  void RequestCatchUpIfBehind(const Now& now, const MemberId& from,
                              const MembershipMessage& message);
  void RequestCatchUpFromSeedPeer(const Now& now);

  // Collects the effects of the state machines after an event.
  void Advance(const Now& now);
  void UpdateAuthority(const Now& now);
  void AdvancePhase(const Now& now);
  void AppendDueRecords(const Now& now);
  void StartDueReads(const Now& now);
  void CollectMembershipEffects(const Now& now, MembershipView::Effects effects);
  void CollectRequestEffects(const Now& now);
  void RequestJoin(const Now& now);
  void UpdateCells(const Now& now);
  bool IsDrained(const Now& now);
  void FinishDraining(const Now& now);
  void Stop(int exit_code);

  void SendToMember(const MemberId& to, PeerPayload payload);
  void SendToAddress(const std::string& address, const MemberId& to, PeerPayload payload);
  void EmitLogEvent(LogEvent event);
  const LogState& state() const { return reader_.state(); }
  bool IsMember() const { return state().members().contains(self_); }

  NodeOptions options_;
  MemberId self_;
  Random random_;
  Phase phase_ = Phase::kLoading;
  // Time of the current event, used when the router looks up the owner of a key.
  Now now_{};
  LogReader reader_;
  RecordAppender appender_;
  SnapshotTrigger snapshot_trigger_;
  MembershipView membership_;
  RequestGateway gateway_;
  CellManager cells_;
  RetirementAttester attester_;
  std::set<std::string> leaving_hosts_;
  bool hosts_read_pending_ = false;
  Time next_hosts_read_{};
  Time next_tick_{};
  Time next_seed_request_{};
  Time next_join_retry_{};
  std::optional<Time> handover_deadline_;
  Time leave_deadline_{};
  bool records_skipped_ = false;
  int exit_code_ = 0;
  std::vector<NodeEffect> effects_;
  Counters counters_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_ENTRY_NODE_IMPL_H_
