#ifndef CACTUSSHELF_CONNECTION_SRC_ENDPOINT_POOL_H_
#define CACTUSSHELF_CONNECTION_SRC_ENDPOINT_POOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusshelf/connection/endpoint_ejector.h"
#include "cactusshelf/connection/endpoint_picker.h"
#include "cactusshelf/connection/endpoint_tracker.h"
#include "cactusshelf/connection/routing_table.h"
#include "cactusshelf/connection/slot_shares.h"
#include "cactusshelf/request/hedge_policy.h"
#include "router_env.h"

namespace cactusshelf {

enum class AttemptResult : std::uint8_t {
  kSuccess,
  kFailure,  // The endpoint or its connection failed.
  // The attempt was cancelled or refused by an endpoint that is leaving, so it does not show
  // whether the endpoint works.
  kInconclusive,
};

// The endpoints of one service, with the state that this entry host keeps for them.
// Not thread-safe.
class EndpointPool {
 public:
  struct PickResult {
    std::uint32_t endpoint = 0;
    std::uint32_t slot = 0;
    bool probe = false;
  };

  struct PickRequest {
    Time latest_end{};  // Latest time at which the attempt ends.
    bool idempotent = false;
    const std::vector<std::uint32_t>* tried_endpoints = nullptr;
    std::size_t queue_length = 0;  // Requests that wait for a slot, including this one.
    Duration waited{};
  };

  explicit EndpointPool(RouterEnv& env);
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // `no_prior_holder` states that no member can hold slots of the endpoints that are new here.
  void ApplyService(Now now, const ServiceEntry& service, bool no_prior_holder);
  void SetMembers(Now now, const std::vector<RouterMember>& members, bool sole_initial_member);
  // Returns false if the endpoint is unknown or was leaving already.
  bool SetLeaving(Now now, const EndpointId& endpoint);
  void Tick(Now now);

  // Acquires a slot of the endpoint with the lowest cost. Returns empty if there is no free slot,
  // or if waiting for a slot in the local failure domain costs less than the link to another
  // domain.
  std::optional<PickResult> Pick(Now now, const PickRequest& request);
  // Releases the result of Pick if no attempt was sent.
  void CancelPick(Now now, const PickResult& picked);

  void OnAttemptSent(const PickResult& picked);
  void OnAttemptLate(std::uint32_t endpoint);
  void OnAttemptOverdue(Now now, std::uint32_t endpoint);
  void OnAttemptEnded(Now now, const PickResult& picked, bool late, AttemptResult result,
                      Duration elapsed);
  void Release(Now now, const PickResult& picked);

  // Elapsed time after which an attempt at the endpoint counts as late (it may be hedged) or
  // overdue (it counts as a failure); empty while unknown.
  std::optional<Duration> LateAfter(std::uint32_t endpoint) const;
  std::optional<Duration> OverdueAfter(std::uint32_t endpoint) const;

  // Median latency of the service, excluding the network; zero while unknown.
  Duration MedianLatency() const { return service_latency_.Median(); }
  // Expected wait for a slot behind `ahead` other requests.
  Duration ExpectedWait(std::size_t ahead) const;
  // If Pick decided to wait for a local slot since the last ClearSpilloverDelay: the wait after
  // which a request is sent to another failure domain instead. Otherwise zero.
  Duration SpilloverDelay() const { return spillover_delay_; }
  void ClearSpilloverDelay() { spillover_delay_ = Duration::zero(); }

  // At least one endpoint is in the configuration.
  bool HasEndpoints() const { return present_count_ > 0; }
  // No endpoint is present, and no removed endpoint is still kept.
  bool Empty() const { return indexes_.empty(); }
  bool Contains(const EndpointId& endpoint) const { return indexes_.contains(endpoint); }
  const EndpointEntry& entry(std::uint32_t n) const { return endpoints_[n].entry; }
  SlotShares& shares() { return shares_; }
  std::vector<EndpointId> Leaving() const;

 private:
  struct Endpoint {
    EndpointEntry entry;
    std::size_t domain = 0;
    bool present = false;
    bool index_in_use = false;  // The index cannot be reused for another endpoint.
    bool leaving = false;
    bool has_free_slot = false;
    Time removed_at{};
    EndpointTracker tracker;
  };

  std::uint32_t FindOrAdd(const EndpointId& id);
  void Remove(Now now, std::uint32_t n);
  void PurgeRemoved(Now now);
  bool IsEligible(std::uint32_t n) const;
  void UpdateCandidate(std::uint32_t n);
  void EjectSlowEndpoints(Now now);
  void OnEjected(Now now, std::uint32_t n, const char* reason);
  bool IsFarSlower(Duration latency, Duration reference_median) const;
  bool IsUsable(Now now, std::uint32_t n, const PickRequest& request) const;
  std::optional<PickResult> PickProbe(Now now, const PickRequest& request);
  bool ShouldWait(const EndpointPicker::Choice& choice, const PickRequest& request) const;
  Duration CostOf(Now now, std::uint32_t n) const;
  Duration RoundTrip(std::uint32_t n) const;

  RouterEnv* env_;
  std::vector<Endpoint> endpoints_;
  std::unordered_map<EndpointId, std::uint32_t> indexes_;
  std::vector<std::uint32_t> free_indexes_;
  std::vector<std::uint32_t> ejected_endpoints_;
  std::size_t present_count_ = 0;
  std::uint32_t slots_per_endpoint_ = 1;
  std::uint32_t connections_per_endpoint_ = 0;
  std::size_t member_count_ = 1;
  EndpointPicker picker_;
  EndpointEjector ejector_;
  HedgePolicy service_latency_;
  Duration service_median_{};
  Duration spillover_delay_{};
  Time next_slow_check_{};
  SlotShares shares_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_ENDPOINT_POOL_H_
