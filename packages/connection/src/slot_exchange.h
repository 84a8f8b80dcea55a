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
  // `service_of` gives the service of an endpoint, or null.
  SlotExchange(RouterEnv& env, Services& services,
               std::function<ServiceState*(const EndpointId&)> service_of);

  void SetMembers(const std::vector<RouterMember>& members);

  // Learns from the services what this member needs.
  void RefreshOwnDemand();
  // Tells the other members what this one needs.
  // As SendDemand, but seldom while this host has no demand.
  void SendPeriodicDemand(Now now);
  void SendDemand(Now now);
  // The same, at once but at most every 25 ms: requests wait and there is no slot.
  void SendUrgentDemand(Now now);
  // Gives back lent slots that others need more, and sends slots whose home moved.
  void SendSurplus(Now now);
  // Sends slots whose home moved or that are to be given back.
  void SendTransfers(Now now);

  // Whether all transfers are confirmed or given up.
  bool AllConfirmed() const { return unconfirmed_.empty(); }

  void OnDemand(Now now, const MemberId& from, const DemandReport& demand);
  void OnLend(Now now, const MemberId& from, const LeaseGrant& lend);
  void OnReturn(Now now, const MemberId& from, const SlotReturn& returned);

 private:
  bool AnyDemand() const;
  struct Sent {
    MemberId to;
    SlotReturn message;
    Time first{};
    Time last{};
  };

  void Resend(Now now);
  bool KnowsAll(const SlotReturn& returned) const;
  bool IsOther(const MemberId& member) const;

  RouterEnv* env_;
  Services* services_;
  std::function<ServiceState*(const EndpointId&)> service_of_;
  std::vector<MemberId> others_;
  LeaseNumber last_lease_ = 0;
  TransferNumber last_transfer_ = 0;
  std::map<TransferNumber, Sent> unconfirmed_;
  // Transfers received lately, by sender: a repeated one must not be taken twice, since the slots
  // may have moved on.
  std::unordered_map<MemberId, std::set<TransferNumber>> received_;
  Time last_demand_ = Time::min();
  bool last_was_idle_ = false;
  Time last_surplus_ = Time::min();
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_SLOT_EXCHANGE_H_
