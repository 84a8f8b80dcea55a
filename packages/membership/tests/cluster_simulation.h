#ifndef CACTUSSHELF_MEMBERSHIP_TESTS_CLUSTER_SIMULATION_H_
#define CACTUSSHELF_MEMBERSHIP_TESTS_CLUSTER_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cactusshelf/base/random.h"
#include "cactusshelf/membership/authority.h"
#include "cactusshelf/membership/ownership_tracker.h"

namespace cactusshelf {

// Simulates members with individual clocks, a log, a host list and a network under virtual time.
class ClusterSimulation {
 public:
  struct Options {
    std::uint64_t seed = 1;
    std::size_t members = 7;
    OwnershipTrackerSettings tracker_settings;
    // Injects random faults, removals, leaves and joins each second.
    bool faults = false;
    // Every second member's clock runs at the maximum rate, the others at the minimum rate.
    // Otherwise the rates are random.
    bool extreme_clock_rates = false;
    // Maximum delay from the start of a log read until the log evaluates the read, and from then
    // until the reply arrives.
    Duration read_delay = std::chrono::milliseconds(150);
  };

  explicit ClusterSimulation(const Options& options);

  void Run(Duration duration);

  // Members that may act on `key` now.
  std::vector<std::size_t> ActiveOwners(const std::string& key) const;
  std::optional<std::size_t> ActiveOwner(const std::string& key) const;
  bool HasAuthority(std::size_t member) const;
  std::optional<Time> OwnershipStart(std::size_t member, const std::string& key) const;

  std::size_t Join(std::string host);
  void Leave(std::size_t member);
  void Remove(std::size_t member);
  void Crash(std::size_t member) { nodes_[member].crashed = true; }
  void Pause(std::size_t member, Duration duration);
  void SetLogOutage(bool outage) { log_outage_ = outage; }
  void SetLogCut(std::size_t member, bool cut) { nodes_[member].log_cut = cut; }
  void SetLinkCut(std::size_t a, std::size_t b, bool cut);
  void RemoveFromHostList(std::size_t member);

  std::size_t size() const { return nodes_.size(); }
  // Largest number of members that could act on the same key at the same time.
  std::size_t max_active_owners() const { return max_active_owners_; }
  // Fraction of the checks in which a key had an owner that could act.
  double owned_share() const;

 private:
  struct Record {
    enum class Kind { kJoin, kLeave, kRemove } kind;
    Member member;
  };
  struct LogRead {
    Time started;
    Time evaluated_at;
    Time done_at;
    std::optional<std::size_t> end;
  };
  struct Node {
    MemberId id;
    double clock_rate = 1;
    Duration clock_offset{};
    std::unique_ptr<OwnershipTracker> tracker;
    std::unique_ptr<Authority> authority;
    std::vector<Member> members;
    std::size_t applied = 0;
    std::optional<LogRead> read;
    Time next_read;
    Time next_host_read;
    Time paused_until;
    bool crashed = false;
    bool left = false;
    bool log_cut = false;

    bool Running(Time now) const { return !crashed && !left && now >= paused_until; }
  };
  struct Delivery {
    std::size_t from;
    std::size_t to;
    MembershipMessage message;
  };

  Time LocalTime(const Node& node) const;
  bool ReadsFail(const Node& node) const { return log_outage_ || node.log_cut; }
  void Step();
  void StepNode(std::size_t index);
  void StepLogRead(Node& node);
  void Apply(Node& node, std::size_t end);
  void Send(std::size_t from, const OutgoingMessage& message);
  void Deliver();
  void Handle(const Delivery& delivery);
  void InjectFaults();
  void Check();

  Options options_;
  Random random_;
  Time now_{std::chrono::seconds(1)};
  std::vector<Node> nodes_;
  std::vector<Record> log_;
  bool log_outage_ = false;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  std::multimap<Time, Delivery> network_;
  std::set<std::string> hosts_;
  std::vector<std::string> keys_;
  std::size_t max_active_owners_ = 0;
  std::uint64_t checks_ = 0;
  std::uint64_t owned_checks_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_MEMBERSHIP_TESTS_CLUSTER_SIMULATION_H_
