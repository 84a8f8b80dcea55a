#ifndef CACTUSSHELF_MEMBERSHIP_TESTS_DETECTOR_SIMULATION_H_
#define CACTUSSHELF_MEMBERSHIP_TESTS_DETECTOR_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cactusshelf/membership/failure_detector.h"

namespace cactusshelf {

// Simulates failure detectors that exchange messages under virtual time.
class DetectorSimulation {
 public:
  DetectorSimulation(std::size_t members, double loss, std::uint64_t seed)
      : loss_(loss), random_(seed) {
    std::vector<MemberId> ids;
    for (std::size_t i = 0; i < members; ++i) {
      ids.emplace_back("entry-host-" + std::to_string(i) + "/1764842000000000");
      indices_[ids.back().str()] = i;
    }
    for (const MemberId& id : ids) {
      nodes_.push_back({FailureDetector(id, {}, Random(random_.Next()), now_), id});
      nodes_.back().detector.SetMembers(ids);
    }
  }

  // Runs all deliveries and wake-ups within `duration` in the order of their times.
  void Run(Duration duration) {
    const Time end = now_ + duration;
    while (true) {
      const auto next = std::min_element(nodes_.begin(), nodes_.end(), WakesEarlier);
      const Time delivery = network_.empty() ? Time::max() : network_.begin()->first;
      const Time time = std::max(now_, std::min(Wakeup(*next), delivery));
      if (time > end) {
        now_ = end;
        return;
      }
      now_ = time;
      if (delivery <= now_) {
        Deliver(std::move(network_.extract(network_.begin()).mapped()));
      } else {
        SendEffects(*next, next->detector.OnTick(now_));
      }
    }
  }

  void Crash(std::size_t member) { nodes_[member].crashed = true; }
  void Pause(std::size_t member, Duration duration) {
    nodes_[member].paused_until = now_ + duration;
  }
  // Drops all messages between two members.
  void CutLink(std::size_t a, std::size_t b) { cut_links_.insert(std::minmax(a, b)); }

  FailureDetector& detector(std::size_t member) { return nodes_[member].detector; }
  const MemberId& id(std::size_t member) const { return nodes_[member].id; }
  Time now() const { return now_; }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t bytes() const { return bytes_; }

  std::size_t CountChanges(std::size_t observer, MemberState state) const {
    const auto& changes = nodes_[observer].changes;
    return static_cast<std::size_t>(
        std::count_if(changes.begin(), changes.end(),
                      [&](const MemberStateChange& change) { return change.state == state; }));
  }
  const std::vector<EndpointId>& leaving(std::size_t member) const {
    return nodes_[member].leaving;
  }

 private:
  struct Node {
    FailureDetector detector;
    MemberId id;
    Time wakeup{};
    Time paused_until{};
    bool crashed = false;
    std::vector<MemberStateChange> changes{};
    std::vector<EndpointId> leaving{};
  };
  struct Delivery {
    std::size_t from;
    std::size_t to;
    MembershipMessage message;
  };

  static Time Wakeup(const Node& node) {
    return node.crashed ? Time::max() : std::max(node.paused_until, node.wakeup);
  }
  static bool WakesEarlier(const Node& a, const Node& b) { return Wakeup(a) < Wakeup(b); }

  // Size of an encoding that uses 8 bytes per number and a length byte per string.
  static std::size_t SizeOf(const Gossip& gossip) {
    std::size_t size = 16;
    for (const Rumor& rumor : gossip.rumors) {
      size += rumor.member.str().size() + rumor.reporter.str().size() + 11;
    }
    for (const EndpointId& endpoint : gossip.leaving_endpoints) {
      size += endpoint.str().size() + 1;
    }
    return size;
  }
  static std::size_t SizeOf(const Ping& ping) { return 9 + 25 + SizeOf(ping.gossip); }
  static std::size_t SizeOf(const PingReq& request) { return 9 + 50 + SizeOf(request.gossip); }
  static std::size_t SizeOf(const Ack& ack) { return 9 + 50 + SizeOf(ack.gossip); }
  template <typename Other>
  static std::size_t SizeOf(const Other& /*other*/) {
    return 0;
  }

  void SendEffects(Node& node, const FailureDetectorEffects& effects) {
    node.wakeup = node.detector.next_wakeup();
    const std::size_t from = indices_.at(node.id.str());
    node.changes.insert(node.changes.end(), effects.changes.begin(), effects.changes.end());
    node.leaving.insert(node.leaving.end(), effects.leaving_endpoints.begin(),
                        effects.leaving_endpoints.end());
    for (const OutgoingMessage& outgoing : effects.messages) {
      ++messages_;
      bytes_ += std::visit([](const auto& message) { return SizeOf(message); }, outgoing.message);
      const std::size_t to = indices_.at(outgoing.to.str());
      if (!random_.Chance(loss_) && !cut_links_.contains(std::minmax(from, to))) {
        const Duration delay =
            random_.Between(std::chrono::microseconds(200), std::chrono::milliseconds(6));
        network_.emplace(now_ + delay, Delivery{from, to, outgoing.message});
      }
    }
  }

  void Deliver(Delivery delivery) {
    Node& node = nodes_[delivery.to];
    if (node.crashed) {
      return;
    }
    if (now_ < node.paused_until) {
      network_.emplace(node.paused_until, std::move(delivery));
      return;
    }
    if (const auto* ping = std::get_if<Ping>(&delivery.message)) {
      SendEffects(node, node.detector.OnPing(*ping, now_));
    } else if (const auto* request = std::get_if<PingReq>(&delivery.message)) {
      SendEffects(node, node.detector.OnPingReq(*request, now_));
    } else if (const auto* ack = std::get_if<Ack>(&delivery.message)) {
      SendEffects(node, node.detector.OnAck(*ack, now_));
    }
  }

  double loss_;
  Random random_;
  Time now_{std::chrono::seconds(1)};
  std::vector<Node> nodes_;
  std::map<std::string, std::size_t> indices_;
  std::multimap<Time, Delivery> network_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_TESTS_DETECTOR_SIMULATION_H_
