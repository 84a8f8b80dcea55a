#ifndef CACTUSSHELF_MEMBERSHIP_FAILURE_DETECTOR_H_
#define CACTUSSHELF_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cactusshelf/base/random.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/membership/member_map.h"
#include "cactusshelf/membership/peer_messages.h"

namespace cactusshelf {

struct FailureDetectorSettings {
  Duration period = std::chrono::milliseconds(500);
  // Indirect probes are sent after this time without an Ack. Round trips between failure domains
  // take about 10 ms.
  Duration ack_timeout = std::chrono::milliseconds(150);
  // Number of members asked to probe a target that did not answer.
  int indirect_probes = 3;
  // A suspicion times out after this number of periods, plus one for each doubling of the number of
  // members, because the time that a refutation takes to spread grows with each doubling.
  int suspicion_periods = 3;
  // A rumor is sent this number of times for each doubling of the number of members.
  int rumor_sends_per_doubling = 3;
  // Upper bound for the size of all rumors and leaving endpoints in one message.
  std::size_t max_gossip_bytes = 512;
  // An event that arrives more than this time after the scheduled wake-up indicates that this
  // process was paused.
  Duration pause_threshold = std::chrono::milliseconds(200);
  // Repeated reports of a leaving endpoint within this time are ignored.
  Duration leaving_dedup_window = std::chrono::minutes(1);
};

enum class MemberState { kAlive, kSuspected, kDead };

// A change of another member's state, as observed by this member.
struct MemberStateChange {
  MemberId member;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const MemberStateChange&, const MemberStateChange&) = default;
};

struct FailureDetectorEffects {
  std::vector<OutgoingMessage> messages;
  std::vector<MemberStateChange> changes;
  // Endpoints first reported as leaving by this event.
  std::vector<EndpointId> leaving_endpoints;
};

// SWIM-style failure detector. Probes one member per period; each round probes all members once,
// in random order. Deterministic for a given seed and sequence of calls. Not thread-safe.
class FailureDetector {
 public:
  FailureDetector(MemberId self, FailureDetectorSettings settings, Random random, Time now);

  // Sets the members to probe; this member is ignored. Drops the state of all members that are not
  // in `members`.
  void SetMembers(const std::vector<MemberId>& members);

  // Sets the state of this member that is sent with each message.
  void SetStatus(const PeerStatus& status) { status_ = status; }

  // Gossips to the other members that `endpoint` is leaving.
  void AnnounceLeaving(const EndpointId& endpoint, Time now);

  // Must be called at next_wakeup(); may also be called earlier.
  FailureDetectorEffects OnTick(Time now);

  FailureDetectorEffects OnPing(const Ping& ping, Time now);
  FailureDetectorEffects OnPingReq(const PingReq& request, Time now);
  FailureDetectorEffects OnAck(const Ack& ack, Time now);

  Time next_wakeup() const;

  // Members that did not refute a suspicion in time and that at least two members, which may
  // include this one, suspect independently. Ordered by id. Candidates for a `remove` record.
  std::vector<MemberId> DeadMembers() const;

  // The members, at least two, whose own probes of `member` failed. Empty if `member` is not one of
  // DeadMembers.
  std::vector<MemberId> FailureReporters(const MemberId& member) const;

  std::vector<MemberId> SuspectedMembers() const { return {suspected_.begin(), suspected_.end()}; }

 private:
  struct Peer {
    std::uint64_t version = 0;
    MemberState state = MemberState::kAlive;
    Time suspicion_deadline;
    MemberSet reporters;
    // Time at which a probe on behalf of another member last failed; empty if the peer has answered
    // or pinged since.
    std::optional<Time> delegated_probe_failed_at;
  };
  // A probe of this member, or one on behalf of another member.
  struct Probe {
    MemberId target;
    Time indirect_at;
    Time end;
    bool indirect_sent = false;
    // Set for a probe on behalf of another member.
    std::optional<PingReq> request;
  };
  struct PendingRumor {
    Rumor rumor;
    int send_count = 0;
  };
  struct PendingLeavingEndpoint {
    EndpointId endpoint;
    int send_count = 0;
  };

  // Shifts all deadlines if this process was paused, so that the pause is not taken for missing
  // answers. Must be called before `now` is compared with a deadline.
  void CompensateForPause(Time now);
  void ShiftDeadlines(Duration pause);

  void StartPeriod(Time now, FailureDetectorEffects& effects);
  void AdvanceProbes(Time now, FailureDetectorEffects& effects);
  void SendIndirectProbes(std::uint64_t sequence, Probe& probe, FailureDetectorEffects& effects);
  void ExpireSuspicions(Time now, FailureDetectorEffects& effects);

  void OnDelegatedProbeFailed(const MemberId& target, Time now, FailureDetectorEffects& effects);
  void ApplyGossip(const Gossip& gossip, Time now, FailureDetectorEffects& effects);
  void ApplyRumor(const Rumor& rumor, Time now, FailureDetectorEffects& effects);
  void ReportSuspicion(const MemberId& member, Time now, FailureDetectorEffects& effects);
  void ApplySuspicion(const Rumor& rumor, Peer& peer, Time now, FailureDetectorEffects& effects);
  void AddReporter(const Rumor& rumor, Peer& peer);

  void SetState(const MemberId& member, Peer& peer, MemberState state,
                FailureDetectorEffects& effects);
  void EnqueueRumor(Rumor rumor);
  Gossip MakeGossip(const MemberId& to);
  std::optional<MemberId> NextProbeTarget();
  int MaxRumorSends() const;
  Duration SuspicionTimeout() const;

  MemberId self_;
  FailureDetectorSettings settings_;
  Random random_;
  PeerStatus status_;
  std::uint64_t version_ = 0;
  MemberMap<Peer> peers_;
  // The peers in state kSuspected.
  MemberSet suspected_;
  std::vector<MemberId> probe_order_;
  std::map<std::uint64_t, Probe> probes_;
  std::uint64_t last_sequence_ = 0;
  std::vector<PendingRumor> pending_rumors_;
  std::vector<PendingLeavingEndpoint> pending_leaving_;
  std::map<std::string, Time> leaving_announced_at_;
  Time next_period_;
  Time expected_wakeup_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_FAILURE_DETECTOR_H_
