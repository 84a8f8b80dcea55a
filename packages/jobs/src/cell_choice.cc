#include "cell_choice.h"

#include <algorithm>
#include <utility>

namespace cactusshelf::jobs {
namespace {

// A report that is older says nothing of the cell; its owner may be gone.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(500);
// Until a job that was handed over is in the reports of the other cell: one append, a read, another
// append and the time between two reports.
constexpr Duration kHandOverTime = std::chrono::milliseconds(200);
// A cell that has room keeps its jobs unless another one is freer by this part of the workers: each
// job that is handed over costs two records, and some time before its first start.
constexpr double kMinShareDifference = 0.05;
// If no cell has room for all tasks of a step, one with room for more than this part of them, and
// for so many more than the own one, is still better. A job stays where it was handed over.
constexpr int kMostTasksDivisor = 2;

}  // namespace

std::string_view ToString(CellChoice::Reason reason) {
  switch (reason) {
    case CellChoice::Reason::kNoRoom:
      return "no_room";
    case CellChoice::Reason::kUneven:
      return "uneven";
  }
  return "unknown";
}

void CellChoice::OnReport(CellRoom room, Time now) {
  const int cell = room.cell;
  reports_[cell] = {std::move(room), now};
}

void CellChoice::OnHandedOver(int from, int to, const RoomDemand& demand, Time now) {
  while (!handed_over_.empty() && now - handed_over_.front().at > kHandOverTime)
    handed_over_.pop_front();
  handed_over_.push_back({from, to, demand.pool, demand.total_parts(), now});
}

const PoolRoom* CellChoice::ReportedRoom(int cell, const std::string& pool, Time now) const {
  const auto report = reports_.find(cell);
  if (report == reports_.end() || now - report->second.received_at > kMaxReportAge) return nullptr;
  const auto it = report->second.room.pools.find(pool);
  return it == report->second.room.pools.end() ? nullptr : &it->second;
}

PoolRoom CellChoice::ExpectedRoom(int cell, const std::string& pool, const PoolRoom& reported,
                                  Time now) const {
  PoolRoom room = reported;
  const Time reported_at = reports_.at(cell).received_at;
  for (const HandedOver& it : handed_over_) {
    if (it.pool != pool || now - it.at > kHandOverTime) continue;
    if (it.to == cell) room.waiting_parts += it.parts;
    // The next report of the own process no longer shows it.
    if (it.from == cell && it.at >= reported_at) room.waiting_parts -= it.parts;
  }
  return room;
}

std::vector<CellChoice::Candidate> CellChoice::FindCandidates(const RoomDemand& demand,
                                                              int own_cell, Time now) const {
  std::vector<Candidate> candidates;
  for (const auto& [cell, report] : reports_) {
    const PoolRoom* reported = ReportedRoom(cell, demand.pool, now);
    if (cell == own_cell || reported == nullptr || reported->workers() == 0) continue;
    const PoolRoom room = ExpectedRoom(cell, demand.pool, *reported, now);
    candidates.push_back({cell, room.RoomFor(demand.parts), room.FreeShareFor(demand.parts),
                          now - report.received_at});
  }
  return candidates;
}

std::optional<CellChoice::Choice> CellChoice::Choose(const RoomDemand& demand, const CellRoom& own,
                                                     Time now) const {
  if (demand.parts <= 0 || demand.parts > PoolRoom::kPartsPerWorker) return std::nullopt;
  const std::vector<Candidate> candidates = FindCandidates(demand, own.cell, now);
  if (candidates.empty()) return std::nullopt;
  const auto own_pool = own.pools.find(demand.pool);
  const PoolRoom own_room = own_pool == own.pools.end() ? PoolRoom{} : own_pool->second;
  const std::int64_t own_tasks = own_room.RoomFor(demand.parts);
  if (own_tasks < demand.tasks) {
    const Candidate& best =
        *std::max_element(candidates.begin(), candidates.end(),
                          [](const auto& a, const auto& b) { return a.tasks < b.tasks; });
    // Where no worker of the pool is usable the job can't even wait for room.
    const std::int64_t most = demand.tasks / kMostTasksDivisor;
    const bool is_better = best.tasks >= demand.tasks || own_room.workers() == 0 ||
                           (best.tasks > most && best.tasks - own_tasks > most);
    if (!is_better) return std::nullopt;
    return Choice{best.cell, Reason::kNoRoom, own_tasks, best.tasks, best.report_age};
  }
  const PoolRoom* own_report = ReportedRoom(own.cell, demand.pool, now);
  if (own_report == nullptr) return std::nullopt;
  const Candidate& freest =
      *std::max_element(candidates.begin(), candidates.end(),
                        [](const auto& a, const auto& b) { return a.share < b.share; });
  PoolRoom own_then = ExpectedRoom(own.cell, demand.pool, *own_report, now);
  // The report may count the job itself.
  own_then.waiting_parts -= demand.total_parts();
  const double difference = freest.share - own_then.FreeShareFor(demand.parts);
  if (difference <= kMinShareDifference || freest.tasks < demand.tasks) return std::nullopt;
  return Choice{freest.cell, Reason::kUneven, own_tasks, freest.tasks, freest.report_age};
}

}  // namespace cactusshelf::jobs
