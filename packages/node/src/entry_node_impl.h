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

// Composition of the state machines of one entry host. Each Handle dispatches one event and then
// runs Advance, which collects what the state machines want done.
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
    kLoading,  // Reads the log up to its end.
    kJoining,  // The join record is not in the log yet.
    kServing,
    kDraining,  // Finishes requests in flight.
    kLeaving,   // Waits for the leave record to be appended.
    kStopped,
  };

  // Periodic work that no other wake-up covers.
  static constexpr Duration kTick = std::chrono::milliseconds(250);
  // A stop does not wait longer than this for the leave record; the others remove this member then.
  static constexpr Duration kLeaveTimeout = std::chrono::seconds(5);

  static constexpr Duration kJoinRepeat = std::chrono::seconds(2);
  // Handing over slots takes about one lease of 2 s.
  static constexpr Duration kHandoverTimeout = std::chrono::seconds(5);

  void On(const Now& now, const node_event::CallerRequest& event);
  void On(const Now& now, const node_event::CallerGone& event);
  void On(const Now& now, const node_event::AttemptSent& event);
  void On(const Now& now, const node_event::AttemptAnswered& event);
  void On(const Now& now, const node_event::AttemptFailed& event);
  void On(const Now& now, const node_event::LogRead& event);
  void On(const Now& now, const node_event::LogReadFailed& event);
  void On(const Now& now, const node_event::AppendDone& event);
  void On(const Now& now, const node_event::AppendFailed& event);
  void On(const Now& now, const node_event::HostsRead& event);
  void On(const Now& now, const node_event::HostsReadFailed& event);
  void On(const Now& now, const node_event::PeerMessage& event);
  void On(const Now& now, const node_event::WorkerAnswered& event);
  void On(const Now& now, const node_event::WorkerFailed& event);
  void On(const Now& now, const node_event::EffectExpired& event);
  void On(const Now& now, const node_event::Timer& event);
  void On(const Now& now, const node_event::DrainRequested& event);

  // Reactions to records of the log.
  LogReader::OnApplied ApplyTo(const Now& now);
  void ApplyChange(const Now& now, const LogFollower::Applied& applied);
  void ApplyAll(const Now& now);
  void OnRecordsSkipped(const Now& now);
  void ApplyConfiguration(const Now& now);
  void ApplyMembers(const Now& now, std::vector<Departure> departures, bool complete);
  void LogChangeEvent(const LogFollower::Applied& applied);
  void RefreshLeavingEndpoints(const Now& now);

  // Messages from peers.
  void OnEnvelope(const Now& now, PeerEnvelope envelope);
  void OnRouterMessage(const Now& now, const MemberId& from, RouterMessage message);
  void OnMembershipMessage(const Now& now, const MemberId& from, const MembershipMessage& message);
  void OnCatchUp(const MemberId& from, const CatchUp& request);
  void OfferCatchUp(const Now& now, const MemberId& from, const MembershipMessage& message);
  void AskSeedPeers(const Now& now);

  // Collects what the state machines want done after an event.
  void Advance(const Now& now);
  void AdvanceAuthority(const Now& now);
  void AdvancePhase(const Now& now);
  void AdvanceRecords(const Now& now);
  void AdvanceReads(const Now& now);
  void CollectMembership(const Now& now, MembershipView::Effects effects);
  void CollectRequests(const Now& now);
  void RequestJoin(const Now& now);
  void UpdateCells(const Now& now);
  bool IsDrained(const Now& now);
  void FinishDraining(const Now& now);
  void Stop(int exit_code);

  void SendTo(const MemberId& to, PeerPayload payload);
  void SendToAddress(const std::string& address, const MemberId& to, PeerPayload payload);
  void Log(LogEvent event);
  const LogState& state() const { return reader_.state(); }
  bool IsMember() const { return state().members().contains(self_); }

  NodeOptions options_;
  MemberId self_;
  Random random_;
  Phase phase_ = Phase::kLoading;
  // The time of the event that is handled, for the router's question who owns a key.
  Now now_{};
  LogReader reader_;
  RecordAppender appender_;
  SnapshotWriter snapshots_;
  MembershipView membership_;
  RequestGateway gateway_;
  CellManager cells_;
  RetirementAttester attester_;
  std::set<std::string> leaving_hosts_;
  bool hosts_read_pending_ = false;
  Time next_hosts_read_{};
  Time next_tick_{};
  Time next_seed_query_{};
  Time next_join_{};
  std::optional<Time> handover_deadline_;
  Time leave_deadline_{};
  bool records_skipped_ = false;
  int exit_code_ = 0;
  std::vector<NodeEffect> effects_;
  Counters counters_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_ENTRY_NODE_IMPL_H_
