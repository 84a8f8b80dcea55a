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
  // After this the help of other members is asked for. Round trips between failure domains take
  // about 10 ms.
  Duration ack_timeout = std::chrono::milliseconds(150);
  int helpers = 3;
  // A suspicion lasts this number of periods, plus one for each doubling of the number of members,
  // as that is how long a refutation takes to spread.
  int suspicion_periods = 3;
  // A rumor is sent this often for each doubling of the number of members.
  int rumor_repeats = 3;
  // Bound on rumors and leaving endpoints in one message.
  std::size_t gossip_bytes = 512;
  // An event that arrives later than the wake-up time by more than this shows that this process
  // was paused.
  Duration pause_slack = std::chrono::milliseconds(200);
  // An endpoint reported as leaving is not announced again within this time.
  Duration leaving_memory = std::chrono::minutes(1);
};

enum class MemberState { kAlive, kSuspected, kDead };

// A change of the state of another member, as seen by this one.
struct MemberStateChange {
  MemberId member;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const MemberStateChange&, const MemberStateChange&) = default;
};

struct FailureDetectorEffects {
  std::vector<OutgoingMessage> messages;
  std::vector<MemberStateChange> changes;
  // Endpoints heard to be leaving for the first time.
  std::vector<EndpointId> leaving_endpoints;
};

// SWIM-style failure detector. In each period it probes one member, in random rounds over all
// members. Deterministic for a given seed and sequence of calls. Not thread-safe.
class FailureDetector {
 public:
  FailureDetector(MemberId self, FailureDetectorSettings settings, Random random, Time now);

  // The other members. State about members that are no longer contained is dropped.
  void SetMembers(const std::vector<MemberId>& members);

  // State of this member that is sent with each message.
  void SetStatus(const PeerStatus& status) { status_ = status; }

  // Tells the other members that `endpoint` is leaving.
  void AnnounceLeaving(const EndpointId& endpoint, Time now);

  // Due at next_wakeup(); may also be called earlier.
  FailureDetectorEffects OnTick(Time now);

  FailureDetectorEffects OnPing(const Ping& ping, Time now);
  FailureDetectorEffects OnPingReq(const PingReq& request, Time now);
  FailureDetectorEffects OnAck(const Ack& ack, Time now);

  Time next_wakeup() const;

  // Members that did not refute a suspicion in time although at least two members, which may
  // include this one, accuse them independently. Ordered by id. Candidates for a `remove` record.
  std::vector<MemberId> DeadMembers() const;

  // The members that accuse `member`, at least two, if it is one of DeadMembers; otherwise empty.
  std::vector<MemberId> FailureReporters(const MemberId& member) const;

  std::vector<MemberId> SuspectedMembers() const { return {suspected_.begin(), suspected_.end()}; }

 private:
  struct Peer {
    std::uint64_t version = 0;
    MemberState state = MemberState::kAlive;
    Time suspicion_end;
    MemberSet reporters;
    // When a probe on behalf of another member last failed, if the member was not heard since.
    std::optional<Time> helper_probe_failed;
  };
  // A probe of this member, or one on behalf of another member.
  struct Probe {
    MemberId target;
    Time ask_helpers;
    Time end;
    bool helpers_asked = false;
    // Set for a probe on behalf of another member.
    std::optional<PingReq> request;
  };
  struct PendingRumor {
    Rumor rumor;
    int sent = 0;
  };
  struct PendingLeaving {
    EndpointId endpoint;
    int sent = 0;
  };

  // Notices a pause of this process, before anything is concluded from the time.
  void ObserveTime(Time now);
  void ShiftDeadlines(Duration pause);

  void StartPeriod(Time now, FailureDetectorEffects& effects);
  void AdvanceProbes(Time now, FailureDetectorEffects& effects);
  void AskHelpers(std::uint64_t sequence, Probe& probe, FailureDetectorEffects& effects);
  void EndSuspicions(Time now, FailureDetectorEffects& effects);

  void EndHelperProbe(const MemberId& target, Time now, FailureDetectorEffects& effects);
  void ApplyGossip(const Gossip& gossip, Time now, FailureDetectorEffects& effects);
  void ApplyRumor(const Rumor& rumor, Time now, FailureDetectorEffects& effects);
  void Accuse(const MemberId& member, Time now, FailureDetectorEffects& effects);
  void Suspect(const Rumor& rumor, Peer& peer, Time now, FailureDetectorEffects& effects);
  void AddAccuser(const Rumor& rumor, Peer& peer);

  void SetState(const MemberId& member, Peer& peer, MemberState state,
                FailureDetectorEffects& effects);
  void Spread(Rumor rumor);
  Gossip MakeGossip(const MemberId& to);
  std::optional<MemberId> NextTarget();
  int RumorRepeats() const;
  Duration SuspicionTime() const;

  MemberId self_;
  FailureDetectorSettings settings_;
  Random random_;
  PeerStatus status_;
  std::uint64_t version_ = 0;
  MemberMap<Peer> peers_;
  // The peers in state kSuspected.
  MemberSet suspected_;
  std::vector<MemberId> round_;
  std::map<std::uint64_t, Probe> probes_;
  std::uint64_t last_sequence_ = 0;
  std::vector<PendingRumor> rumors_;
  std::vector<PendingLeaving> leaving_;
  std::map<std::string, Time> leaving_heard_;
  Time next_period_;
  Time expected_wakeup_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_FAILURE_DETECTOR_H_
