#include <algorithm>
#include <utility>

#include "cactusshelf/version/retirement.h"

namespace cactusshelf {

void RetirementRegistry::Open(RetirementTracker retirement_case) {
  const CustomerId customer = retirement_case.scope().customer;
  latest_ = std::max(latest_.value_or(0), retirement_case.scope().retirement);
  if (!retirement_case.complete()) {
    open_.insert(customer);
  }
  cases_.insert_or_assign(customer, std::move(retirement_case));
}

const RetirementTracker* RetirementRegistry::Find(const CustomerId& customer) const {
  const auto it = cases_.find(customer);
  return it == cases_.end() ? nullptr : &it->second;
}

template <typename Visit>
void RetirementRegistry::ForEachOpen(Visit visit) {
  for (auto it = open_.begin(); it != open_.end();) {
    RetirementTracker& retirement_case = cases_.at(*it);
    visit(retirement_case);
    it = retirement_case.complete() ? open_.erase(it) : std::next(it);
  }
}

void RetirementRegistry::OnLeave(const Leave& leave, const Evidence& evidence) {
  ForEachOpen([&](RetirementTracker& it) { it.OnLeave(leave, evidence); });
}

void RetirementRegistry::OnRemove(const Remove& remove, const Evidence& evidence) {
  ForEachOpen([&](RetirementTracker& it) { it.OnRemove(remove, evidence); });
}

bool RetirementRegistry::OnAttest(const Attest& attest, const Evidence& evidence) {
  bool counted = false;
  ForEachOpen([&](RetirementTracker& it) { counted = it.OnAttest(attest, evidence) || counted; });
  return counted;
}

void RetirementRegistry::OnWorkersChanged(const std::set<CellId>& cells, Offset offset,
                                          WallTime time) {
  ForEachOpen([&](RetirementTracker& it) { it.OnWorkersChanged(cells, offset, time); });
}

void RetirementRegistry::OnTime(Offset offset, WallTime time, std::string_view bytes) {
  ForEachOpen([&](RetirementTracker& it) { it.OnTime(offset, time, bytes); });
}

}  // namespace cactusshelf
