#include <nlohmann/json.hpp>
#include <string>

#include "entry_node_impl.h"

namespace cactusshelf {
namespace {

using Json = nlohmann::json;

Json MembersJson(const LogState& state) {
  Json members = Json::array();
  for (const auto& [id, member] : state.members()) {
    members.push_back({{"member", id.str()},
                       {"domain", member.domain.str()},
                       {"peer_address", member.peer_address},
                       {"http_address", member.http_address}});
  }
  return members;
}

Json RetirementsJson(const LogState& state) {
  Json retirements = Json::array();
  for (const auto& [customer, retirement] : state.retirements().trackers()) {
    Json missing = Json::array();
    for (const MissingProof& it : retirement.MissingProofs()) {
      missing.push_back(it.Format());
    }
    retirements.push_back({{"customer", customer.str()},
                           {"complete", retirement.complete()},
                           {"missing", std::move(missing)}});
  }
  return retirements;
}

Json CellsJson(const CellManager& cells) {
  Json list = Json::array();
  for (const auto& it : cells.Status()) {
    list.push_back({{"cell", it.cell.str()},
                    {"epoch", it.epoch},
                    {"recovering", it.recovering},
                    {"waiting_jobs", it.waiting_jobs},
                    {"unvisited_workers", it.unvisited_workers}});
  }
  return list;
}

Json RevisionJson(const Revision& revision) { return revision ? Json(*revision) : Json(); }

}  // namespace

std::string EntryNode::Impl::Status(const Now& now) const {
  const LogState& log_state = state();
  Json json;
  json["member"] = self_.str();
  json["domain"] = options_.domain.str();
  json["ready"] = ready();
  json["draining"] = phase_ == Phase::kDraining || phase_ == Phase::kLeaving;
  json["revision"] = RevisionJson(log_state.revision());
  json["revision_time_ms"] = Json();
  if (log_state.revision_time()) {
    json["revision_time_ms"] = log_state.revision_time()->time_since_epoch().count();
  }
  json["offset"] = log_state.offset();
  json["chain"] = log_state.chain();
  json["authority"] = membership_.AuthorityUntil(now.monotonic).has_value();
  json["requests_in_flight"] = gateway_.router().in_flight();
  json["members"] = MembersJson(log_state);
  json["retirements"] = RetirementsJson(log_state);
  json["cells"] = CellsJson(cells_);
  return json.dump();
}

std::string EntryNode::Impl::Metrics() const {
  Counters counters = counters_;
  counters.Merge(gateway_.counters());
  counters.Merge(gateway_.router().counters());
  counters.Merge(reader_.counters());
  counters.Merge(state().counters());
  cells_.MergeCounters(counters);
  return counters.Format() + gateway_.FormatLatency();
}

}  // namespace cactusshelf
