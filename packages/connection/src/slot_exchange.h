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

// The part of a router that exchanges slots of endpoints with the other members.
// Not thread-safe.
class SlotExchange {
 public:
  // `find_service` gives the service of an endpoint, or null.
  SlotExchange(RouterEnv& env, Services& services,
               std::function<ServiceState*(const EndpointId&)> find_service);

  void SetMembers(const std::vector<RouterMember>& members);

  // Learns from the services what this member needs.
  void UpdateLocalDemand();
  // Tells the other members what this one needs.
  // As SendDemand, but seldom while this host has no demand.
  void SendPeriodicDemand(Now now);
  void SendDemand(Now now);
  // The same, at once but at most every 25 ms: requests wait and there is no slot.
  void SendUrgentDemand(Now now);
  // Gives back lent slots that others need more, and sends slots whose home moved.
  void ReturnSurplusSlots(Now now);
  // Sends slots whose home moved or that are to be given back.
  void SendTransfers(Now now);

  // Whether all transfers are confirmed or given up.
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
  // Transfers received lately, by sender: a repeated one must not be taken twice, since the slots
  // may have moved on.
  std::unordered_map<MemberId, std::set<TransferNumber>> received_transfers_;
  Time last_demand_report_ = Time::min();
  bool last_demand_was_zero_ = false;
  Time last_surplus_return_ = Time::min();
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_SLOT_EXCHANGE_H_
