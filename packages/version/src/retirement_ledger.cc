#include <algorithm>
#include <utility>

#include "cactusshelf/version/retirement.h"

namespace cactusshelf {

void RetirementLedger::Open(RetirementCase retirement_case) {
  const CustomerId customer = retirement_case.scope().customer;
  latest_ = std::max(latest_.value_or(0), retirement_case.scope().retirement);
  if (!retirement_case.complete()) {
    open_.insert(customer);
  }
  cases_.insert_or_assign(customer, std::move(retirement_case));
}

const RetirementCase* RetirementLedger::Find(const CustomerId& customer) const {
  const auto it = cases_.find(customer);
  return it == cases_.end() ? nullptr : &it->second;
}

template <typename Visit>
void RetirementLedger::ForEachOpen(Visit visit) {
  for (auto it = open_.begin(); it != open_.end();) {
    RetirementCase& retirement_case = cases_.at(*it);
    visit(retirement_case);
    it = retirement_case.complete() ? open_.erase(it) : std::next(it);
  }
}

void RetirementLedger::OnLeave(const Leave& leave, const Evidence& evidence) {
  ForEachOpen([&](RetirementCase& it) { it.OnLeave(leave, evidence); });
}

void RetirementLedger::OnRemove(const Remove& remove, const Evidence& evidence) {
  ForEachOpen([&](RetirementCase& it) { it.OnRemove(remove, evidence); });
}

bool RetirementLedger::OnAttest(const Attest& attest, const Evidence& evidence) {
  bool counted = false;
  ForEachOpen([&](RetirementCase& it) { counted = it.OnAttest(attest, evidence) || counted; });
  return counted;
}

void RetirementLedger::OnWorkersChanged(const std::set<CellId>& cells, Offset offset,
                                        WallTime time) {
  ForEachOpen([&](RetirementCase& it) { it.OnWorkersChanged(cells, offset, time); });
}

void RetirementLedger::OnTime(Offset offset, WallTime time, std::string_view bytes) {
  ForEachOpen([&](RetirementCase& it) { it.OnTime(offset, time, bytes); });
}

}  // namespace cactusshelf
