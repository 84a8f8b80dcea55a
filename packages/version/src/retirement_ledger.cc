#include <algorithm>
#include <utility>

#include "cactusshelf/version/retirement.h"

namespace cactusshelf {

void RetirementLedger::Add(RetirementTracker tracker) {
  const CustomerId customer = tracker.scope().customer;
  latest_offset_ = std::max(latest_offset_.value_or(0), tracker.scope().retirement);
  if (!tracker.complete()) {
    incomplete_.insert(customer);
  }
  trackers_.insert_or_assign(customer, std::move(tracker));
}

const RetirementTracker* RetirementLedger::Find(const CustomerId& customer) const {
  const auto it = trackers_.find(customer);
  return it == trackers_.end() ? nullptr : &it->second;
}

template <typename Visit>
void RetirementLedger::ForEachIncomplete(Visit visit) {
  for (auto it = incomplete_.begin(); it != incomplete_.end();) {
    RetirementTracker& tracker = trackers_.at(*it);
    visit(tracker);
    it = tracker.complete() ? incomplete_.erase(it) : std::next(it);
  }
}

void RetirementLedger::OnLeave(const Leave& leave, const Evidence& evidence) {
  ForEachIncomplete([&](RetirementTracker& it) { it.OnLeave(leave, evidence); });
}

void RetirementLedger::OnRemove(const Remove& remove, const Evidence& evidence) {
  ForEachIncomplete([&](RetirementTracker& it) { it.OnRemove(remove, evidence); });
}

bool RetirementLedger::OnAttest(const Attest& attest, const Evidence& evidence) {
  bool counted = false;
  ForEachIncomplete(
      [&](RetirementTracker& it) { counted = it.OnAttest(attest, evidence) || counted; });
  return counted;
}

void RetirementLedger::OnWorkersChanged(const std::set<CellId>& cells, Offset offset,
                                        WallTime time) {
  ForEachIncomplete([&](RetirementTracker& it) { it.OnWorkersChanged(cells, offset, time); });
}

void RetirementLedger::OnRecordTime(Offset offset, WallTime time, std::string_view bytes) {
  ForEachIncomplete([&](RetirementTracker& it) { it.OnRecordTime(offset, time, bytes); });
}

}  // namespace cactusshelf
