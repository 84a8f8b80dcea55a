#ifndef CACTUSSHELF_CONNECTION_SRC_SLOT_EXCHANGE_H_
#define CACTUSSHELF_CONNECTION_SRC_SLOT_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "cactusshelf/connection/routing_table.h"
#include "cactusshelf/connection/slot_messages.h"
#include "router_env.h"
#include "service_state.h"

namespace cactusshelf {

using Services = std::unordered_map<ServiceId, std::unique_ptr<ServiceState>>;

// Exchanges endpoint slots with the other members on behalf of a router.
// Not thread-safe.
class SlotExchange {
 public:
  // `find_service` returns the service of an endpoint, or null.
  SlotExchange(RouterEnv& env, Services& services,
               std::function<ServiceState*(const EndpointId&)> find_service);

  void SetMembers(const std::vector<RouterMember>& members);

  // Updates the demand of this member from the demand of its services.
  void UpdateLocalDemand();
  // Like SendDemand, but sends at most every 2 s while this host has no demand.
  void SendPeriodicDemand(Now now);
  // Reports the demand of this member to the other members.
  void SendDemand(Now now);
  // Reports the demand at once, but at most every 25 ms. Called when requests wait for a slot.
  void SendUrgentDemand(Now now);
  // Returns surplus borrowed slots, and sends slots whose home changed.
  void ReturnSurplusSlots(Now now);
  // Sends slots whose home changed and borrowed slots that are to be returned.
  void SendTransfers(Now now);

  // Returns whether every transfer was confirmed or has timed out.
  bool AllTransfersConfirmed() const { return unconfirmed_.empty(); }

  void OnDemandReport(Now now, const MemberId& from, const DemandReport& demand);
  void OnLeaseGrant(Now now, const MemberId& from, const LeaseGrant& grant);
  void OnSlotReturn(Now now, const MemberId& from, const SlotReturn& returned);

 private:
  bool HasDemand() const;
  struct UnconfirmedTransfer {
    MemberId to;
    SlotReturn message;
    Time first_sent{};
    Time last_sent{};
  };

  void ResendUnconfirmed(Now now);
  bool KnowsAllEndpoints(const SlotReturn& returned) const;
  bool IsPeer(const MemberId& member) const;

  RouterEnv* env_;
  Services* services_;
  std::function<ServiceState*(const EndpointId&)> find_service_;
  std::vector<MemberId> peers_;
  LeaseNumber last_lease_ = 0;
  TransferNumber last_transfer_ = 0;
  std::map<TransferNumber, UnconfirmedTransfer> unconfirmed_;
  // Recently received transfers, by sender. A duplicate must be ignored, since this member may have
  // transferred the slots to another member since.
  std::unordered_map<MemberId, std::set<TransferNumber>> received_transfers_;
  Time last_demand_report_ = Time::min();
  bool last_demand_was_zero_ = false;
  Time last_surplus_return_ = Time::min();
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_SLOT_EXCHANGE_H_
